package engine

import (
	"net/http"
	"net/url"
	"strings"
)

// ownHeaders begins the headers that only the system itself sets.
const ownHeaders = "Hyssopsail-"

// hopHeaders belong to one connection, not to the call.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// secretHeaders are between the caller and the system.
var secretHeaders = []string{"Authorization", "Host"}

// forwardedHeader gives the headers of a caller that an endpoint may see.
func forwardedHeader(from http.Header) http.Header {
	to := from.Clone()
	if to == nil {
		to = http.Header{}
	}
	dropHop(to)
	for _, name := range secretHeaders {
		to.Del(name)
	}
	dropOwn(to)
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = nil // net/http would add its own
	}
	return to
}

// dropHop takes out the hop-by-hop headers, those that Connection names too.
func dropHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func dropOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), ownHeaders) {
			delete(h, name)
		}
	}
}

// cleanResponse takes out what a service may not tell the caller: outcomes,
// which are the system's to say, and its own address.
func cleanResponse(t Target, response *http.Response) {
	dropHop(response.Header)
	dropOwn(response.Header)
	response.Trailer = nil
	location, err := url.Parse(response.Header.Get("Location"))
	if err != nil || location.Host == t.Address {
		response.Header.Del("Location")
	}
}

// validMethod tells whether method is one a caller may use. CONNECT would ask
// the endpoint to open a tunnel.
func validMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
