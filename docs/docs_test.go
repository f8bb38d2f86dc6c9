// Package docs tests the documentation pages in this folder: what they name must
// exist in the source tree.
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

// moduleRoot is the path of the module's root folder.
const moduleRoot = ".."

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}

// goSource returns the concatenated text of all test files if tests is true, otherwise of
// all other Go files.
func goSource(t *testing.T, tests bool) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(moduleRoot, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") != tests {
			return err
		}
		all.WriteString(readFile(t, path))
		return nil
	})
	assert.NilError(t, err)
	return all.String()
}

// readPages returns the text of all documentation pages by path.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	texts := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md", "examples/*/README.md"} {
		paths, err := filepath.Glob(filepath.Join(moduleRoot, pattern))
		assert.NilError(t, err)
		for _, path := range paths {
			texts[path] = readFile(t, path)
		}
	}
	return texts
}

// firstGroups returns the set of texts that the first group of pattern matches in text.
func firstGroups(pattern, text string) map[string]bool {
	groups := map[string]bool{}
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		groups[match[1]] = true
	}
	return groups
}

// Guards against pages that name a test that was renamed or removed.
func TestNamedTestsExist(t *testing.T) {
	defined := firstGroups(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`, goSource(t, true))
	for path, text := range readPages(t) {
		for name := range firstGroups("\\b((?:Test|Fuzz)[A-Z]\\w+)", text) {
			assert.Check(t, defined[name], "%s names %s, which no test file has", path, name)
		}
	}
}

// Guards against proofs that name a test with a package that doesn't have it.
func TestProofsAreInTheirPackages(t *testing.T) {
	proofPattern := regexp.MustCompile("`(\\w+)\\.((?:Test|Fuzz)\\w+)`")
	proofs := proofPattern.FindAllStringSubmatch(readFile(t, "PROOFS.md"), -1)
	assert.Assert(t, len(proofs) > 50)
	for _, match := range proofs {
		files, err := filepath.Glob(filepath.Join(moduleRoot, "internal", match[1], "*_test.go"))
		assert.NilError(t, err)
		if match[1] == "platform" { // the one package outside internal
			files, err = filepath.Glob(filepath.Join(moduleRoot, match[1], "*_test.go"))
			assert.NilError(t, err)
		}
		var text strings.Builder
		for _, file := range files {
			text.WriteString(readFile(t, file))
		}
		assert.Check(t, strings.Contains(text.String(), "\nfunc "+match[2]+"("), "no test %s.%s", match[1], match[2])
	}
}

// histogramSuffix matches the suffixes of the series of a histogram.
var histogramSuffix = regexp.MustCompile(`_(bucket|sum|count)$`)

// Guards against alerts and pages that name a metric that no daemon has: such an alert
// never fires. Also guards against metrics that MONITORING.md doesn't explain.
func TestMetricsExist(t *testing.T) {
	registered := firstGroups(`"(hyssopsail_[a-z_]+)"`, goSource(t, false))
	assert.Assert(t, len(registered) > 40)
	for _, path := range []string{"alerts.yaml", "dashboard.json", "MONITORING.md", "OPERATIONS.md"} {
		for name := range firstGroups(`\b(hyssopsail_[a-z_]+)`, readFile(t, path)) {
			known := registered[name] || registered[histogramSuffix.ReplaceAllString(name, "")]
			assert.Check(t, known, "%s names %s, which no daemon has", path, name)
		}
	}
	explained := firstGroups("`(hyssopsail_[a-z_]+)", readFile(t, "MONITORING.md"))
	for name := range registered {
		assert.Check(t, explained[name], "MONITORING.md doesn't explain %s", name)
	}
}

// Guards against a rules file or dashboard that doesn't parse: it is rejected as a whole.
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
	decoder := yaml.NewDecoder(strings.NewReader(readFile(t, "alerts.yaml")))
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
	assert.NilError(t, json.Unmarshal([]byte(readFile(t, "dashboard.json")), &dashboard))
	assert.Assert(t, len(dashboard.Panels) > 20)
}

// Guards against alerts and log prefixes that MONITORING.md doesn't explain.
func TestAlertsAndPrefixesAreExplained(t *testing.T) {
	page := readFile(t, "MONITORING.md")
	for alert := range firstGroups(`alert: (\w+)`, readFile(t, "alerts.yaml")) {
		assert.Check(t, strings.Contains(page, "| "+alert+" |"), "MONITORING.md doesn't explain %s", alert)
	}
	for prefix := range firstGroups(`(?:newPart|logging\.For)\([\w.]*[lL]ogger, "([a-z-]+)"\)`, goSource(t, false)) {
		assert.Check(t, strings.Contains(page, "| `"+prefix+"` |"), "MONITORING.md doesn't explain the prefix %s", prefix)
	}
}

// Guards against pages that readers can't find because no index links to them.
func TestIndexesAreComplete(t *testing.T) {
	for index, pattern := range map[string]string{"DESIGN.md": "design/*.md", "PROOFS.md": "proofs/*.md"} {
		paths, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		text := readFile(t, index)
		for _, path := range paths {
			assert.Check(t, strings.Contains(text, "]("+path+")"), "%s doesn't name %s", index, path)
		}
	}
}

// Guards against links in pages to files that were moved or removed.
func TestLinksLead(t *testing.T) {
	for path, text := range readPages(t) {
		for link := range firstGroups(`\]\(([^)#]+)[^)]*\)`, text) {
			if strings.Contains(link, "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(path), link))
			assert.Check(t, err == nil, "%s links to %s, which isn't there", path, link)
		}
	}
}
