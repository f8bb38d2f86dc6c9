package settings

import (
	"net/http"
	"strings"
)

// Idempotent tells whether a call may be run twice. path is what follows the
// service's name, with its leading "/". A caller can only make it stricter:
// headerSaysNo wins over all. First matching route, else GET and HEAD alone.
func (s Service) Idempotent(method, path string, headerSaysNo bool) bool {
	// A service may read "/glosses/../slips" as "/slips" and "/%73lips" too:
	// the call would run under one route's rule after being judged by
	// another's. Such a path counts as not idempotent, whatever it matches.
	if headerSaysNo || !plainPath(path) {
		return false
	}
	for _, route := range s.Routes {
		if (route.Method == anyMethod || route.Method == method) && below(route.Prefix, path) {
			return route.Idempotent
		}
	}
	return method == http.MethodGet || method == http.MethodHead
}

// below tells whether path is prefix or lies under it, by whole segments.
func below(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// plainPath tells whether a path reads the same to each server: no escapes, no
// dot or empty segments, no other separators.
func plainPath(path string) bool {
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
