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

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// operation describes one kind of call with a JSON body.
type operation struct {
	op            string
	method        string
	path          string
	timeout       time.Duration
	maxReplyBytes int64
}

// nonReplayableBody hides the type of a body from net/http.
//
// Failure: http.Transport resends a request by itself when a reused connection
// breaks and the request has no body, or has GetBody. The endpoint may have run
// the first one, so that a call that must not be repeated runs twice. A body that
// is neither nil nor http.NoBody, without GetBody, rules out any such resend.
type nonReplayableBody struct {
	io.Reader
}

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// doJSON sends in as JSON (nil: empty body) and decodes the answer into out.
// Errors are *Error.
func (c *HTTPClient) doJSON(ctx context.Context, t Target, gate Gate, x operation, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return &Error{Target: t, Op: x.op, Err: err}
	}
	ctx, stop := context.WithTimeout(ctx, x.timeout)
	defer stop()
	for resent := false; ; resent = true {
		response, s, err := c.post(ctx, t, gate, x, body)
		if err == nil {
			return readReply(t, x, response, out)
		}
		// The request is resent only if the first send used a connection that the
		// endpoint had closed, and certainly sent nothing; see guardedConn.
		if resent || err.Sent || !s.metClosedConn() || ctx.Err() != nil {
			return err
		}
	}
}

// post sends one JSON request and returns the answer once its header has been
// received. A status other than 200 is an error.
func (c *HTTPClient) post(ctx context.Context, t Target, gate Gate, x operation, body []byte) (*http.Response, *sendState, *Error) {
	target, err := c.targetURL(t, x.path)
	if err != nil {
		return nil, &sendState{}, &Error{Target: t, Op: x.op, Err: err}
	}
	request := &http.Request{
		Method:        x.method,
		URL:           target,
		Host:          target.Host,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          nonReplayableBody{bytes.NewReader(body)},
		ContentLength: int64(len(body)),
	}
	response, s, failure := c.roundTrip(ctx, t, gate, x.op, request)
	if failure != nil {
		return nil, s, failure
	}
	if response.StatusCode != http.StatusOK {
		return nil, s, refusalError(t, x.op, response)
	}
	return response, s, nil
}

// roundTrip checks the gate, sends request and waits for the answer's header.
func (c *HTTPClient) roundTrip(ctx context.Context, t Target, gate Gate, op string, request *http.Request) (*http.Response, *sendState, *Error) {
	// After success closing the body calls cancel. Besides, each caller ends its ctx.
	ctx, cancel := context.WithCancelCause(ctx)
	s := &sendState{target: t, gate: gate, cancel: cancel}
	if err := s.checkGate(); err != nil {
		cancel(err)
		return nil, s, &Error{Target: t, Op: op, Err: err}
	}
	response, err := c.checked.RoundTrip(request.WithContext(s.withTrace(withTarget(ctx, t))))
	if err == nil {
		response.Body = &cancellingBody{ReadCloser: response.Body, cancel: cancel}
		return response, s, nil
	}
	defer cancel(err)
	return nil, s, &Error{Target: t, Op: op, Sent: s.mayHaveSent(), Err: failureCause(ctx, s, err)}
}

// cancellingBody cancels the request's context when the answer's body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(context.Canceled)
	return err
}

// failureCause returns the gate's refusal or the cause of an ended context, if there
// is one, rather than the transport's error.
func failureCause(ctx context.Context, s *sendState, err error) error {
	if refusal := s.gateError(); refusal != nil {
		return refusal
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if trace.IsBadParameter(err) {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return err
}

func encode(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	return json.Marshal(in)
}

// targetURL returns the URL of path at t, whose address must be host:port.
func (c *HTTPClient) targetURL(t Target, path string) (*url.URL, error) {
	if !engineapi.IsValidAddress(t.Address) {
		return nil, fmt.Errorf("%w: %q", ErrNotAllowed, t.Address)
	}
	return &url.URL{Scheme: c.scheme, Host: t.Address, Path: path}, nil
}

func readReply(t Target, x operation, response *http.Response, out any) error {
	defer response.Body.Close()
	body, err := readBounded(response.Body, x.maxReplyBytes)
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
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if int64(len(body)) > limit {
		return nil, oversized(readlimit.Body, int64(len(body)), limit)
	}
	return body, nil
}

// maxErrorBytes limits the body of an error answer.
const maxErrorBytes = 16 << 10

// refusalError returns the error for a refusal. Code stays empty if the body isn't a
// valid engineapi.ErrorReply with a known code.
func refusalError(t Target, op string, response *http.Response) *Error {
	defer response.Body.Close()
	failure := &Error{
		Target: t, Op: op, Sent: true, Err: fmt.Errorf("status %d", response.StatusCode),
		Cooldown: dispatch.CooldownFromAnswer(response.StatusCode, response.Header),
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
