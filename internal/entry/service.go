package entry

import (
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

const (
	idempotentNo = "false"
	ownPrefix    = "Hyssopsail-"
)

// connectionHeaders are hop by hop and never passed on, nor is the team's key.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	callerapi.HeaderAuthorise, callerapi.HeaderKey,
}

// service passes a call on to a plain service.
func (c *callers) service(x *exchange) *route.Failure {
	request, failure := c.readCall(x)
	if failure != nil {
		return failure
	}
	answer, failure := c.opts.Router.Call(x.r.Context(), request)
	if failure != nil {
		return failure
	}
	x.began = true
	copyHeader(x.w.Header(), answer.Header)
	x.w.Header().Set(callerapi.HeaderRequestID, string(x.id))
	x.w.Header().Set(callerapi.HeaderOutcome, string(callerapi.OutcomeCompleted))
	_ = x.control.SetWriteDeadline(time.Now().Add(c.bounds.WriteTime))
	x.w.WriteHeader(answer.StatusCode)
	_, _ = x.w.Write(answer.Body) // a caller that is gone can't be told
	return nil
}

func (c *callers) readCall(x *exchange) (route.CallRequest, *route.Failure) {
	patience, failure := x.patience()
	if failure != nil {
		return route.CallRequest{}, failure
	}
	below, ok := servicePath(chi.URLParam(x.r, "*"))
	if !ok {
		return route.CallRequest{}, badRequest("the path goes above the service")
	}
	body, failure := c.body(x)
	if failure != nil {
		return route.CallRequest{}, failure
	}
	header := http.Header{}
	copyHeader(header, x.r.Header)
	return route.CallRequest{
		ID:         x.id,
		Team:       x.team.Name,
		Key:        x.key,
		Service:    chi.URLParam(x.r, "service"),
		Method:     x.r.Method,
		Path:       below,
		Query:      x.r.URL.RawQuery,
		Header:     header,
		Body:       body,
		AtMostOnce: strings.EqualFold(x.r.Header.Get(callerapi.HeaderIdempotent), idempotentNo),
		CallerKind: x.r.Header.Get(callerapi.HeaderCallerKind),
		Patience:   patience,
		Arrived:    x.arrived,
	}, nil
}

// servicePath gives the path below the service, decoded once, so that the
// settings' routes and the endpoint see the same. One with "." or ".." parts is
// refused rather than cleaned: it would match another route's settings than
// the endpoint serves, so that a call which may not repeat is repeated.
func servicePath(rest string) (string, bool) {
	decoded, err := url.PathUnescape(rest)
	if err != nil {
		return "", false
	}
	below := "/" + decoded
	cleaned := path.Clean(below)
	if strings.HasSuffix(below, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return below, cleaned == below
}

// copyHeader copies what belongs to the two ends. The system's own headers
// and the team's key stay here: a caller can't speak as a daemon to an
// endpoint, nor an endpoint as a daemon to a caller.
func copyHeader(to, from http.Header) {
	named := connectionNamed(from)
	for name, values := range from {
		if strings.HasPrefix(name, ownPrefix) || named[name] {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
}

// connectionNamed are the headers that Connection itself names as hop by hop.
func connectionNamed(h http.Header) map[string]bool {
	out := map[string]bool{}
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
