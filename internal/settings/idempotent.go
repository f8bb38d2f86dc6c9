package settings

import (
	"net/http"
	"strings"
)

// Idempotent reports whether a call may be run twice. path is the part after the
// service's name, with its leading "/". The first matching route decides;
// without one only GET and HEAD are idempotent. headerSaysNo, the caller's own
// statement that the call is not idempotent, overrides the routes.
func (s Service) Idempotent(method, path string, headerSaysNo bool) bool {
	// A service may read both "/glosses/../slips" and "/%73lips" as "/slips", so
	// that the call would be checked by another route's rule than the one that
	// applies. Such a path counts as not idempotent, whatever it matches.
	if headerSaysNo || !isUnambiguousPath(path) {
		return false
	}
	for _, route := range s.Routes {
		if (route.Method == anyMethod || route.Method == method) && prefixCovers(route.Prefix, path) {
			return route.Idempotent
		}
	}
	return method == http.MethodGet || method == http.MethodHead
}

// prefixCovers reports whether path equals prefix or is below it, by whole segments.
func prefixCovers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// isUnambiguousPath reports whether all servers interpret a path in the same
// way: it has no escapes, dot segments, empty segments or other separators.
func isUnambiguousPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "%\\;?#") || strings.Contains(path, "//") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}
