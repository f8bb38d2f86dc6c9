package settings

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// NameRule describes valid names. It excludes "+", which joins zones in a zone
// class, "/" and "@", which separate the parts of model references and subtree
// names, and characters that need quoting in a path, metric label or log line.
const NameRule = `lower-case letters, digits, ".", "_" and "-", at most 63, a letter or digit first`

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether a name follows NameRule.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// checker validates one decoded document and adds the faults that it finds.
type checker struct {
	document *strictyaml.Document
}

func (c checker) fault(path, want, problem string, args ...any) {
	c.document.Fault(path, want, problem, args...)
}

// required reports a fault if the file doesn't set path.
func (c checker) required(path, want string) {
	if !c.document.Has(path) {
		c.fault(path, want, "is missing")
	}
}

func (c checker) name(path, name string) {
	if !ValidName(name) {
		c.fault(path, "write "+NameRule, "%q is not a name", name)
	}
}

// distinct reports each repeated value as a fault; what describes it.
func (c checker) distinct(path string, values []string, what string) {
	seen := make(map[string]int, len(values))
	for n, value := range values {
		first, repeated := seen[value]
		if repeated {
			c.fault(strictyaml.Index(path, n), "keep one of them", "%s stands here again, first in %s",
				what, strictyaml.Index(path, first))
			continue
		}
		seen[value] = n
	}
}

// names checks that all names are valid and distinct.
func (c checker) names(path string, values []string) {
	for n, value := range values {
		c.name(strictyaml.Index(path, n), value)
	}
	c.distinct(path, values, "the same name")
}

// nonEmpty reports an empty or missing list as a fault.
func (c checker) nonEmpty(path string, length int, want string) {
	if length == 0 {
		c.fault(path, want, "has no item")
	}
}

// checkRange reports a fault unless low <= value <= high.
func checkRange[T int | int64 | float64 | time.Duration | ByteRate | ByteSize](c checker, path string, value, low, high T) {
	if value < low || value > high {
		c.fault(path, fmt.Sprintf("choose from %v to %v", low, high), "%v is out of range", value)
	}
}

func (c checker) oneOf(path, value string, known []string) {
	if !slices.Contains(known, value) {
		c.fault(path, "choose one of "+strings.Join(known, ", "), "%q is not known", value)
	}
}

func stringsOf[T ~string](values []T) []string {
	out := make([]string, len(values))
	for n, value := range values {
		out[n] = string(value)
	}
	return out
}
