package entry

import (
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

const (
	notIdempotent        = "false"
	reservedHeaderPrefix = "Hyssopsail-"
)

// droppedHeaders are never forwarded: the hop-by-hop headers, the team's key and
// the idempotency key.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	callerapi.HeaderAuthorization, callerapi.HeaderIdempotencyKey,
}

// service forwards a call to a plain service.
func (c *callerHandler) service(x *exchange) *route.Failure {
	request, failure := c.readCall(x)
	if failure != nil {
		return failure
	}
	answer, failure := c.opts.Router.Call(x.r.Context(), request)
	if failure != nil {
		return failure
	}
	c.writeAnswer(x, answer)
	return nil
}

// writeAnswer writes a whole answer. Its length lets any caller tell whether it arrived whole.
func (c *callerHandler) writeAnswer(x *exchange, answer *route.CallResponse) {
	x.headersSent = true
	h := x.w.Header()
	copyHeader(h, answer.Header)
	if len(answer.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	h.Set(callerapi.HeaderRequestID, string(x.id))
	h.Set(callerapi.HeaderOutcome, string(callerapi.OutcomeCompleted))
	_ = x.control.SetWriteDeadline(time.Now().Add(c.bounds.WriteTimeout))
	x.w.WriteHeader(answer.StatusCode)
	_, _ = x.w.Write(answer.Body) // the caller may have disconnected
}

func (c *callerHandler) readCall(x *exchange) (route.CallRequest, *route.Failure) {
	timeout, failure := x.timeout()
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
		AtMostOnce: strings.EqualFold(x.r.Header.Get(callerapi.HeaderIdempotent), notIdempotent),
		CallerKind: x.r.Header.Get(callerapi.HeaderCallerKind),
		Patience:   timeout,
		Arrived:    x.arrived,
	}, nil
}

// servicePath returns the path below the service, decoded once, so that the
// settings' routes and the endpoint see the same path. ok is false for a path
// that isn't clean, such as one with "." or ".." segments: the settings of another
// route than the one that the endpoint serves could match the path, and a
// non-idempotent call be retried.
func servicePath(rest string) (below string, ok bool) {
	decoded, err := url.PathUnescape(rest)
	if err != nil {
		return "", false
	}
	below = "/" + decoded
	cleaned := path.Clean(below)
	if strings.HasSuffix(below, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return below, cleaned == below
}

// copyHeader copies the end-to-end headers. Headers reserved for the system and
// the team's key aren't copied, so that a caller can't pose as a daemon to an
// endpoint, nor an endpoint as a daemon to a caller.
func copyHeader(to, from http.Header) {
	named := headersListedInConnection(from)
	for name, values := range from {
		if strings.HasPrefix(name, reservedHeaderPrefix) || named[name] {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	for _, name := range droppedHeaders {
		to.Del(name)
	}
}

// headersListedInConnection returns the headers that Connection lists as hop-by-hop.
func headersListedInConnection(h http.Header) map[string]bool {
	out := map[string]bool{}
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
