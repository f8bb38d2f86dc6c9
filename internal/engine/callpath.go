package engine

import (
	"fmt"
	"net/url"
	"strings"
)

// callPrefix is the path below which plain services receive callers' paths.
const callPrefix = "/call"

// maxUnescapePasses is how often a path is unescaped in the search for traversal
// segments. No service is known that decodes a path more often.
const maxUnescapePasses = 3

// callURL returns the URL at t for the caller's path and query, below
// callPrefix. Scheme, user and host of from are ignored.
//
// Failure: a caller sends "/../v1/cancel", perhaps with the dots escaped once
// or twice, and reaches an endpoint's own paths. A path with a traversal
// segment, at any level of escaping, is therefore refused and never cleaned.
func (c *HTTPClient) callURL(t Target, from *url.URL) (*url.URL, error) {
	path := from.EscapedPath()
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if isTraversal(path) {
		return nil, fmt.Errorf("%w: path", ErrNotAllowed)
	}
	target, err := c.targetURL(t, "")
	if err != nil {
		return nil, err
	}
	target.Path, err = url.PathUnescape(callPrefix + path)
	if err != nil {
		return nil, fmt.Errorf("%w: path", ErrNotAllowed)
	}
	target.RawPath = callPrefix + path
	target.RawQuery = from.RawQuery
	return target, nil
}

// isTraversal reports whether a path has a segment "." or "..", a backslash or a
// control character, plain or escaped.
func isTraversal(path string) bool {
	for range maxUnescapePasses {
		if hasUnsafeSegment(path) {
			return true
		}
		decoded, err := url.PathUnescape(path)
		if err != nil || decoded == path {
			// callURL refuses an invalid escape at the first level; at deeper
			// levels it is plain text.
			return false
		}
		path = decoded
	}
	return hasUnsafeSegment(path)
}

func hasUnsafeSegment(path string) bool {
	for _, r := range path {
		if r < ' ' || r == 0x7f || r == '\\' {
			return true
		}
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
