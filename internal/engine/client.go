package engine

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/responsehead"
)

// maxHeaderBytes bounds the header of an endpoint's answer.
const maxHeaderBytes = 64 << 10

// HTTPClient implements Client over HTTP/1.1. It needs no closing: idle
// connections and pending cancels time out.
type HTTPClient struct {
	options   Options
	transport *http.Transport
	checked   responsehead.Transport // transport, for well-formed responses alone
	scheme    string
	metrics   *metrics
	canceller *canceller
}

var _ Client = (*HTTPClient)(nil)

// NewClient returns a client. It starts no goroutine until it is used.
func NewClient(o Options) *HTTPClient {
	o = o.withDefaults()
	c := &HTTPClient{options: o, scheme: "http", metrics: newMetrics(o.Registerer)}
	if o.TLS != nil {
		c.scheme = "https"
	}
	c.transport = newTransport(o)
	c.checked = responsehead.Transport{Base: c.transport}
	// Idle connections over a lost link are dead, and those through a relay not wanted once it
	// works again.
	o.Reachability.OnChange(c.transport.CloseIdleConnections)
	c.canceller = newCanceller(o, c.metrics, c.sendCancel)
	return c
}

// newTransport returns a transport without proxies from the environment,
// redirects or compression, for HTTP/1.1 only.
func newTransport(o Options) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            guardedDial(o),
		TLSClientConfig:        o.TLS,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		TLSHandshakeTimeout:    o.DialTimeout,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    o.MaxIdleConnsPerEndpoint,
		IdleConnTimeout:        o.IdleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Prefill implements Client.
func (c *HTTPClient) Prefill(ctx context.Context, t Target, gate Gate, r engineapi.PrefillRequest) (engineapi.PrefillReply, error) {
	var reply engineapi.PrefillReply
	x := operation{op: "prefill", method: http.MethodPost, path: "/v1/prefill", timeout: c.options.PrefillTimeout, maxReplyBytes: c.options.MaxReplyBytes}
	err := c.doJSON(ctx, t, gate, x, r, &reply)
	if err == nil {
		err = checkAnswer(t, x.op, r.Attempt, reply.Attempt, reply.Incarnation)
	}
	return reply, c.countResult(x.op, err)
}

// Import implements Client.
func (c *HTTPClient) Import(ctx context.Context, t Target, gate Gate, r engineapi.ImportRequest) (engineapi.ImportReply, error) {
	var reply engineapi.ImportReply
	x := operation{op: "import", method: http.MethodPost, path: "/v1/kv/import", timeout: c.options.ImportTimeout, maxReplyBytes: c.options.MaxReplyBytes}
	err := c.doJSON(ctx, t, gate, x, r, &reply)
	if err == nil {
		err = checkAnswer(t, x.op, r.Attempt, reply.Attempt, reply.Incarnation)
	}
	return reply, c.countResult(x.op, err)
}

// Held implements Client.
func (c *HTTPClient) Held(ctx context.Context, t Target) (engineapi.HeldReply, error) {
	var reply engineapi.HeldReply
	x := operation{op: "held", method: http.MethodGet, path: "/v1/held", timeout: c.options.ReadTimeout, maxReplyBytes: c.options.MaxReplyBytes}
	err := c.doJSON(ctx, t, nil, x, nil, &reply)
	if err == nil {
		err = checkIncarnation(t, x.op, reply.Incarnation)
	}
	return reply, c.countResult(x.op, err)
}

// Cache implements Client.
func (c *HTTPClient) Cache(ctx context.Context, t Target) (engineapi.CacheSnapshot, error) {
	var reply engineapi.CacheSnapshot
	x := operation{op: "cache", method: http.MethodGet, path: "/v1/cache", timeout: c.options.ReadTimeout, maxReplyBytes: c.options.MaxCacheBytes}
	err := c.doJSON(ctx, t, nil, x, nil, &reply)
	if err == nil {
		err = checkIncarnation(t, x.op, reply.Incarnation)
	}
	return reply, c.countResult(x.op, err)
}

// State implements Client. A target with incarnation 0 accepts the answer of any
// incarnation of the endpoint.
func (c *HTTPClient) State(ctx context.Context, t Target) (engineapi.Announcement, error) {
	var reply engineapi.Announcement
	x := operation{op: "state", method: http.MethodGet, path: "/v1/state", timeout: c.options.ReadTimeout, maxReplyBytes: c.options.MaxReplyBytes}
	err := c.doJSON(ctx, t, nil, x, nil, &reply)
	if err == nil {
		err = checkState(t, x.op, reply)
	}
	return reply, c.countResult(x.op, err)
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, t Target, o engineapi.Order) (engineapi.OrderReply, error) {
	var reply engineapi.OrderReply
	x := operation{op: "order", method: http.MethodPost, path: "/v1/orders", timeout: c.options.OrderTimeout, maxReplyBytes: c.options.MaxReplyBytes}
	err := c.doJSON(ctx, t, nil, x, o, &reply)
	return reply, c.countResult(x.op, err)
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(t Target, attempt fleet.AttemptID) {
	c.canceller.add(t, attempt)
}

// sendCancel sends a cancel once.
func (c *HTTPClient) sendCancel(ctx context.Context, t Target, attempt fleet.AttemptID) error {
	var reply engineapi.CancelReply
	x := operation{op: "cancel", method: http.MethodPost, path: "/v1/cancel", timeout: c.options.CancelRequestTimeout, maxReplyBytes: c.options.MaxReplyBytes}
	err := c.doJSON(ctx, t, nil, x, engineapi.CancelRequest{Attempt: attempt}, &reply)
	return c.countResult(x.op, err)
}
