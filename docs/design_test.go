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

// timeoutRow matches a row of the table of timeouts: name and default.
var timeoutRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| ([\\dhms.]+) \\|")

// Guards against a default timeout on the page that differs from the code: an operator who
// relies on it can lose a margin that another timeout depends on.
func TestTimeoutsOfThePage(t *testing.T) {
	text, err := yaml.Marshal(settings.DefaultTimeouts())
	assert.NilError(t, err)
	want := map[string]time.Duration{}
	assert.NilError(t, yaml.Unmarshal(text, &want))
	got := map[string]time.Duration{}
	for _, row := range timeoutRow.FindAllStringSubmatch(readFile(t, "DESIGN.md"), -1) {
		value, err := time.ParseDuration(row[2])
		assert.NilError(t, err, row[0])
		got[row[1]] = value
	}
	assert.DeepEqual(t, got, want)
}

// Guards against relations between timeouts that are enforced but missing on the page. The
// test takes them from the error messages in check_timeouts.go.
func TestRelationsOfThePage(t *testing.T) {
	page := readFile(t, "DESIGN.md")
	rules := firstGroups(`"(\w+ (?:[*+] [\w%]+ )?(?:<=|>=|<) [\w%]+) \(now`, readFile(t, "../internal/settings/check_timeouts.go"))
	assert.Equal(t, len(rules), 6)
	for rule := range rules {
		rule = strings.NewReplacer("%d", "3", "%v", "3s").Replace(rule)
		assert.Check(t, strings.Contains(page, "`"+rule+"`"), "DESIGN.md lacks %s", rule)
	}
}

const modulePath = "github.com/hyssopsail/hyssopsail/internal/"

// layerRow matches a row of the table of layers: number and packages.
var layerRow = regexp.MustCompile(`(?m)^\| (\d) [^|]*\| ([a-z/ ]+) \|$`)

// Guards against a package that imports one of the same or a higher layer: such imports
// lead to packages that can't be read or tested without each other.
func TestLayersOfThePage(t *testing.T) {
	layer := map[string]string{}
	for _, row := range layerRow.FindAllStringSubmatch(readFile(t, "DESIGN.md"), -1) {
		for _, name := range strings.Fields(row[2]) {
			layer[name] = row[1]
		}
	}
	internalFolder := filepath.Join(moduleRoot, "internal")
	err := filepath.WalkDir(internalFolder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, err := filepath.Rel(internalFolder, filepath.Dir(path))
		if err != nil || strings.HasPrefix(readFile(t, path), "//go:build") || hasOnlyTests(t, filepath.Dir(path)) {
			return err
		}
		assert.Check(t, layer[name] != "", "DESIGN.md has no layer for %s", name)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, inModule := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), modulePath)
			assert.Check(t, !inModule || layer[imported] < layer[name], "%s imports %s, which stands no higher", path, imported)
		}
		return nil
	})
	assert.NilError(t, err)
}

// hasOnlyTests reports whether the folder of a package contains no Go files other than
// tests and doc.go.
func hasOnlyTests(t *testing.T, folder string) bool {
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
