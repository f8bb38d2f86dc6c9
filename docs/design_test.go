package docs

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

var timeoutRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| ([\\dhms.]+) \\|")

// An operator sets a timeout by the page's default, which the code no longer
// has, and loses a margin that another timeout rests on.
func TestTimeoutsOfThePage(t *testing.T) {
	text, err := yaml.Marshal(settings.DefaultTimeouts())
	assert.NilError(t, err)
	want := map[string]time.Duration{}
	assert.NilError(t, yaml.Unmarshal(text, &want))
	got := map[string]time.Duration{}
	for _, row := range timeoutRow.FindAllStringSubmatch(read(t, "DESIGN.md"), -1) {
		value, err := time.ParseDuration(row[2])
		assert.NilError(t, err, row[0])
		got[row[1]] = value
	}
	assert.DeepEqual(t, got, want)
}

// Each relation between timeouts that the checks enforce is on the page. The
// rules stand in check_timeouts.go as text for whoever broke one.
func TestRelationsOfThePage(t *testing.T) {
	page := read(t, "DESIGN.md")
	rules := setOf(`"(\w+ (?:[*+] [\w%]+ )?(?:<=|>=|<) [\w%]+) \(now`, read(t, "../internal/settings/check_timeouts.go"))
	assert.Equal(t, len(rules), 6)
	for rule := range rules {
		rule = strings.NewReplacer("%d", "3", "%v", "3s").Replace(rule)
		assert.Check(t, strings.Contains(page, "`"+rule+"`"), "DESIGN.md lacks %s", rule)
	}
}

const modulePath = "github.com/hyssopsail/hyssopsail/internal/"

var layerRow = regexp.MustCompile(`(?m)^\| (\d) [^|]*\| ([a-z/ ]+) \|$`)

// A package of a lower layer imports one above it, and soon two parts can't be
// read or tested without each other.
func TestLayersOfThePage(t *testing.T) {
	layer := map[string]string{}
	for _, row := range layerRow.FindAllStringSubmatch(read(t, "DESIGN.md"), -1) {
		for _, name := range strings.Fields(row[2]) {
			layer[name] = row[1]
		}
	}
	internal := filepath.Join(root, "internal")
	err := filepath.WalkDir(internal, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, err := filepath.Rel(internal, filepath.Dir(path))
		if err != nil || strings.HasPrefix(read(t, path), "//go:build") || onlyTests(t, filepath.Dir(path)) {
			return err
		}
		assert.Check(t, layer[name] != "", "DESIGN.md has no layer for %s", name)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, own := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), modulePath)
			assert.Check(t, !own || layer[imported] < layer[name], "%s imports %s, which stands no higher", path, imported)
		}
		return nil
	})
	assert.NilError(t, err)
}

// onlyTests tells whether a package holds tests beside its doc comment.
func onlyTests(t *testing.T, folder string) bool {
	t.Helper()
	files, err := os.ReadDir(folder)
	assert.NilError(t, err)
	for _, file := range files {
		name := file.Name()
		if filepath.Ext(name) == ".go" && !strings.HasSuffix(name, "_test.go") && name != "doc.go" {
			return false
		}
	}
	return true
}
