package httpserver

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to one connection and aren't forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// DeleteHopByHop deletes the hop-by-hop headers, including those listed in Connection.
func DeleteHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
