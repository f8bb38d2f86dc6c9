package engine

import (
	"fmt"
	"net/url"
	"strings"
)

// callPrefix is where plain services take callers' paths.
const callPrefix = "/call"

// maxUnescapes is how often a path is unescaped in the search for segments
// that climb; services that decode more often than that are not known.
const maxUnescapes = 3

// callURL puts the caller's path below callPrefix at t. Scheme, user and host
// of from are dropped.
//
// Failure: a caller sends "/../v1/cancel", perhaps with the dots escaped once
// or twice, and so reaches an endpoint's own paths. A path with a segment that
// climbs, at any level of escaping, is refused and never cleaned up.
func (c *HTTPClient) callURL(t Target, from *url.URL) (*url.URL, error) {
	path := from.EscapedPath()
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if climbs(path) {
		return nil, fmt.Errorf("%w: path", ErrAddress)
	}
	target, err := c.targetURL(t, "")
	if err != nil {
		return nil, err
	}
	target.Path, err = url.PathUnescape(callPrefix + path)
	if err != nil {
		return nil, fmt.Errorf("%w: path", ErrAddress)
	}
	target.RawPath = callPrefix + path
	target.RawQuery = from.RawQuery
	return target, nil
}

// climbs tells whether a path has a segment "." or "..", a backslash or a
// control character, plain or escaped.
func climbs(path string) bool {
	for range maxUnescapes {
		if hasClimb(path) {
			return true
		}
		decoded, err := url.PathUnescape(path)
		if err != nil || decoded == path {
			// A stray "%" is refused by url.PathUnescape at the first level;
			// deeper it is plain text.
			return false
		}
		path = decoded
	}
	return hasClimb(path)
}

func hasClimb(path string) bool {
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
