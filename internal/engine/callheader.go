package engine

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/httpserver"
)

// reservedHeaderPrefix is the prefix of headers that only hyssopsail may set.
const reservedHeaderPrefix = "Hyssopsail-"

// callerOnlyHeaders are meant for hyssopsail and not for the endpoint.
var callerOnlyHeaders = []string{"Authorization", "Host"}

// forwardableHeader returns a copy of the caller's headers that an endpoint may see.
func forwardableHeader(from http.Header) http.Header {
	to := from.Clone()
	if to == nil {
		to = http.Header{}
	}
	httpserver.DeleteHopByHop(to)
	for _, name := range callerOnlyHeaders {
		to.Del(name)
	}
	deleteReserved(to)
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = nil // keeps net/http from adding its own
	}
	return to
}

func deleteReserved(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), reservedHeaderPrefix) {
			delete(h, name)
		}
	}
}

// sanitizeResponse deletes headers that a service may not pass to the caller:
// hop-by-hop and reserved headers, as only hyssopsail reports outcomes, trailers,
// and a Location that is malformed or reveals the endpoint's address.
func sanitizeResponse(t Target, response *http.Response) {
	httpserver.DeleteHopByHop(response.Header)
	deleteReserved(response.Header)
	response.Trailer = nil
	location, err := url.Parse(response.Header.Get("Location"))
	if err != nil || location.Host == t.Address {
		response.Header.Del("Location")
	}
}

// isAllowedMethod reports whether a caller may use method. CONNECT, for one, would
// ask the endpoint to open a tunnel.
func isAllowedMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
