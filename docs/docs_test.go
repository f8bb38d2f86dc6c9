// Package docs holds the checks of the pages beside it: what they name must be
// in the tree.
package docs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
)

// root is the module's folder.
const root = ".."

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}

// sources gives the text of all Go files, those of tests or the others.
func sources(t *testing.T, tests bool) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") != tests {
			return err
		}
		all.WriteString(read(t, path))
		return nil
	})
	assert.NilError(t, err)
	return all.String()
}

// pages gives the text of all pages of the tree by path.
func pages(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md", "examples/*/README.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		assert.NilError(t, err)
		for _, path := range paths {
			found[path] = read(t, path)
		}
	}
	return found
}

// setOf gives what a pattern's first group matches.
func setOf(pattern, text string) map[string]bool {
	found := map[string]bool{}
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found[match[1]] = true
	}
	return found
}

// A reader looks for a proof and finds no such test: it was renamed or removed.
func TestNamedTestsExist(t *testing.T) {
	defined := setOf(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`, sources(t, true))
	for path, text := range pages(t) {
		for name := range setOf("\\b((?:Test|Fuzz)[A-Z]\\w+)", text) {
			assert.Check(t, defined[name], "%s names %s, which no test file has", path, name)
		}
	}
}

// The table of proofs names a test with its package.
func TestProofsAreInTheirPackages(t *testing.T) {
	proof := regexp.MustCompile("`(\\w+)\\.((?:Test|Fuzz)\\w+)`")
	found := proof.FindAllStringSubmatch(read(t, "PROOFS.md"), -1)
	assert.Assert(t, len(found) > 50)
	for _, match := range found {
		files, err := filepath.Glob(filepath.Join(root, "internal", match[1], "*_test.go"))
		assert.NilError(t, err)
		if match[1] == "platform" { // the one package outside internal
			files, err = filepath.Glob(filepath.Join(root, match[1], "*_test.go"))
			assert.NilError(t, err)
		}
		var text strings.Builder
		for _, file := range files {
			text.WriteString(read(t, file))
		}
		assert.Check(t, strings.Contains(text.String(), "\nfunc "+match[2]+"("), "no test %s.%s", match[1], match[2])
	}
}

var suffixes = regexp.MustCompile(`_(bucket|sum|count)$`)

// An alert that names a metric which no daemon has never fires, and nobody
// notices until it is needed.
func TestMetricsExist(t *testing.T) {
	registered := setOf(`"(hyssopsail_[a-z_]+)"`, sources(t, false))
	assert.Assert(t, len(registered) > 40)
	for _, path := range []string{"alerts.yaml", "dashboard.json", "MONITORING.md", "OPERATIONS.md"} {
		for name := range setOf(`\b(hyssopsail_[a-z_]+)`, read(t, path)) {
			known := registered[name] || registered[suffixes.ReplaceAllString(name, "")]
			assert.Check(t, known, "%s names %s, which no daemon has", path, name)
		}
	}
	explained := setOf("`(hyssopsail_[a-z_]+)", read(t, "MONITORING.md"))
	for name := range registered {
		assert.Check(t, explained[name], "MONITORING.md doesn't explain %s", name)
	}
}

// A rules file or dashboard that doesn't parse is refused as a whole.
func TestMonitoringFilesParse(t *testing.T) {
	var rules struct {
		Groups []struct {
			Name  string `yaml:"name"`
			Rules []struct {
				Alert       string            `yaml:"alert"`
				Expr        string            `yaml:"expr"`
				For         string            `yaml:"for"`
				Labels      map[string]string `yaml:"labels"`
				Annotations map[string]string `yaml:"annotations"`
			} `yaml:"rules"`
		} `yaml:"groups"`
	}
	decoder := yaml.NewDecoder(strings.NewReader(read(t, "alerts.yaml")))
	decoder.KnownFields(true)
	assert.NilError(t, decoder.Decode(&rules))
	for _, group := range rules.Groups {
		for _, rule := range group.Rules {
			assert.Check(t, rule.Expr != "" && rule.Annotations["summary"] != "", "%s", rule.Alert)
			assert.Check(t, strings.Count(rule.Expr, "(") == strings.Count(rule.Expr, ")"), "%s", rule.Alert)
		}
	}
	var dashboard struct {
		Panels []struct {
			Title   string
			Targets []struct{ Expr string }
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(read(t, "dashboard.json")), &dashboard))
	assert.Assert(t, len(dashboard.Panels) > 20)
}

// Each alert says what to do, and each part that writes to the log is named.
func TestAlertsAndPrefixesAreExplained(t *testing.T) {
	page := read(t, "MONITORING.md")
	for alert := range setOf(`alert: (\w+)`, read(t, "alerts.yaml")) {
		assert.Check(t, strings.Contains(page, "| "+alert+" |"), "MONITORING.md doesn't explain %s", alert)
	}
	for prefix := range setOf(`(?:newPart|logging\.For)\([\w.]*[lL]ogger, "([a-z-]+)"\)`, sources(t, false)) {
		assert.Check(t, strings.Contains(page, "| `"+prefix+"` |"), "MONITORING.md doesn't explain the prefix %s", prefix)
	}
}

// A page that no index names is found by nobody.
func TestIndexesAreComplete(t *testing.T) {
	for index, pattern := range map[string]string{"DESIGN.md": "design/*.md", "PROOFS.md": "proofs/*.md"} {
		paths, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		text := read(t, index)
		for _, path := range paths {
			assert.Check(t, strings.Contains(text, "]("+path+")"), "%s doesn't name %s", index, path)
		}
	}
}

// A link of a page leads nowhere after a file was moved.
func TestLinksLead(t *testing.T) {
	for path, text := range pages(t) {
		for link := range setOf(`\]\(([^)#]+)[^)]*\)`, text) {
			if strings.Contains(link, "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(path), link))
			assert.Check(t, err == nil, "%s links to %s, which isn't there", path, link)
		}
	}
}
