package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// exchange is one kind of JSON call.
type exchange struct {
	op      string
	method  string
	path    string
	timeout time.Duration
	limit   int64 // bytes of the answer
}

// onceBody hides the type of a body from net/http.
//
// Failure: http.Transport sends a request again by itself when a kept
// connection breaks and the request has no body, or has a GetBody. The
// endpoint may have run the first copy, so that a call that may not repeat runs
// twice. A body that is neither nil nor http.NoBody, without GetBody, takes
// every such path away.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// exchange sends in as JSON (nil: no body) and reads the answer into out.
// Errors are *Error.
func (c *HTTPClient) exchange(ctx context.Context, t Target, gate Gate, x exchange, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return &Error{Target: t, Op: x.op, Err: err}
	}
	ctx, stop := context.WithTimeout(ctx, x.timeout)
	defer stop()
	for try := 0; ; try++ {
		response, s, err := c.post(ctx, t, gate, x, body)
		if err == nil {
			return readReply(t, x, response, out)
		}
		// A second try is made only when the first met a closed connection and
		// is known to have sent nothing; see guardedConn.
		if try > 0 || err.Sent || !s.stale() || ctx.Err() != nil {
			return err
		}
	}
}

// post sends one JSON request and gives the answer once its header is there
// and its status is below 400.
func (c *HTTPClient) post(ctx context.Context, t Target, gate Gate, x exchange, body []byte) (*http.Response, *send, *Error) {
	target, err := c.targetURL(t, x.path)
	if err != nil {
		return nil, &send{}, &Error{Target: t, Op: x.op, Err: err}
	}
	request := &http.Request{
		Method:        x.method,
		URL:           target,
		Host:          target.Host,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          onceBody{bytes.NewReader(body)},
		ContentLength: int64(len(body)),
	}
	response, s, failure := c.roundTrip(ctx, t, gate, x.op, request)
	if failure != nil {
		return nil, s, failure
	}
	if response.StatusCode != http.StatusOK {
		return nil, s, refused(t, x.op, response)
	}
	return response, s, nil
}

// roundTrip asks the gate, sends request and waits for the answer's header.
func (c *HTTPClient) roundTrip(ctx context.Context, t Target, gate Gate, op string, request *http.Request) (*http.Response, *send, *Error) {
	// cancel ends with ctx: each caller gives a ctx that it ends itself.
	ctx, cancel := context.WithCancelCause(ctx)
	s := &send{target: t, gate: gate, cancel: cancel}
	if err := s.ask(); err != nil {
		cancel(err)
		return nil, s, &Error{Target: t, Op: op, Err: err}
	}
	response, err := c.transport.RoundTrip(request.WithContext(s.trace(ctx)))
	if err == nil {
		response.Body = &closingBody{ReadCloser: response.Body, cancel: cancel}
		return response, s, nil
	}
	defer cancel(err)
	return nil, s, &Error{Target: t, Op: op, Sent: s.left(), Err: cause(ctx, s, err)}
}

// closingBody ends the request's context when the answer is done with.
type closingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(context.Canceled)
	return err
}

// cause prefers the reason of an ended context over the transport's words.
func cause(ctx context.Context, s *send, err error) error {
	if refusal := s.refusal(); refusal != nil {
		return refusal
	}
	if because := context.Cause(ctx); because != nil {
		return because
	}
	return err
}

func encode(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	return json.Marshal(in)
}

// targetURL makes the URL of path at t, whose address must be host:port.
func (c *HTTPClient) targetURL(t Target, path string) (*url.URL, error) {
	if !engineapi.AddressOK(t.Address) {
		return nil, fmt.Errorf("%w: %q", ErrAddress, t.Address)
	}
	return &url.URL{Scheme: c.scheme, Host: t.Address, Path: path}, nil
}

func readReply(t Target, x exchange, response *http.Response, out any) error {
	defer response.Body.Close()
	body, err := readBounded(response.Body, x.limit)
	if err == nil {
		err = unmarshal(body, out)
	}
	if err != nil {
		return &Error{Target: t, Op: x.op, Sent: true, Err: err}
	}
	return nil
}

func unmarshal(body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: answer over %d bytes", ErrOversized, limit)
	}
	return body, nil
}

// maxErrorBytes bounds the body of a refusal.
const maxErrorBytes = 16 << 10

// refused reads a refusal. An endpoint that gives no readable one leaves Code
// empty.
func refused(t Target, op string, response *http.Response) *Error {
	defer response.Body.Close()
	failure := &Error{
		Target: t, Op: op, Sent: true, Err: fmt.Errorf("status %d", response.StatusCode),
		Rest: dispatch.CooldownFromAnswer(response.StatusCode, response.Header),
	}
	body, err := readBounded(response.Body, maxErrorBytes)
	if err != nil {
		return failure
	}
	var reply engineapi.ErrorReply
	if unmarshal(body, &reply) != nil || !reply.Code.Known() {
		return failure
	}
	failure.Code = reply.Code
	failure.Err = errors.New(reply.Message)
	return failure
}
