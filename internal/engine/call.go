package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

const opCall = "call"

// Call implements Client. The path of r is relative to the service and is
// prefixed with /call. A call is sent at most once. An answer that carries
// engineapi.HeaderRefusal becomes an *Error with that code: the service did not
// run the call.
func (c *HTTPClient) Call(ctx context.Context, t Target, gate Gate, attempt fleet.AttemptID, r *http.Request) (*http.Response, error) {
	request, err := c.newCallRequest(t, attempt, r)
	if err != nil {
		return nil, c.countResult(opCall, &Error{Target: t, Op: opCall, Err: err})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	idleTimer := time.AfterFunc(c.options.CallHeaderTimeout, func() { cancel(ErrIdleTimeout) })
	response, _, failure := c.roundTrip(ctx, t, gate, opCall, request)
	if failure != nil {
		idleTimer.Stop()
		cancel(failure)
		return nil, c.countResult(opCall, failure)
	}
	if response.Header.Get(engineapi.HeaderRefusal) != "" {
		idleTimer.Stop()
		failure = callRefusal(t, response)
		cancel(failure)
		return nil, c.countResult(opCall, failure)
	}
	idleTimer.Reset(c.options.CallIdleTimeout)
	sanitizeResponse(t, response)
	response.Body = &callBody{
		client: c, target: t, ctx: ctx, cancel: cancel, idleTimer: idleTimer, idle: c.options.CallIdleTimeout,
		body: response.Body,
	}
	return response, c.countResult(opCall, nil)
}

func callRefusal(t Target, response *http.Response) *Error {
	code := engineapi.Code(response.Header.Get(engineapi.HeaderRefusal))
	failure := refusalError(t, opCall, response)
	if code.Known() {
		failure.Code = code
	}
	return failure
}

// newCallRequest returns the request to the endpoint for the caller's request r.
func (c *HTTPClient) newCallRequest(t Target, attempt fleet.AttemptID, r *http.Request) (*http.Request, error) {
	if !isAllowedMethod(r.Method) {
		return nil, fmt.Errorf("%w: method %q", ErrNotAllowed, r.Method)
	}
	target, err := c.callURL(t, r.URL)
	if err != nil {
		return nil, err
	}
	if r.ContentLength > c.options.MaxCallRequestBytes {
		return nil, fmt.Errorf("%w: body over %d bytes", ErrOversized, c.options.MaxCallRequestBytes)
	}
	header := forwardableHeader(r.Header)
	header.Set(engineapi.HeaderAttempt, string(attempt))
	if c.options.Owner != (fleet.Owner{}) {
		header.Set(engineapi.HeaderOwner, c.options.Owner.String())
	}
	return &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          target.Host,
		Header:        header,
		Body:          nonReplayableBody{&boundedReader{reader: bodyOf(r), remaining: c.options.MaxCallRequestBytes}},
		ContentLength: max(r.ContentLength, 0),
	}, nil
}

func bodyOf(r *http.Request) io.Reader {
	if r.Body == nil {
		return http.NoBody
	}
	return r.Body
}

// boundedReader returns ErrOversized, not io.EOF, past its limit, so that a
// truncated body doesn't look complete.
type boundedReader struct {
	reader    io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, ErrOversized
	}
	return n, err
}

// callBody is an answer's body with a size limit and an idle timeout.
type callBody struct {
	client    *HTTPClient
	target    Target
	ctx       context.Context
	cancel    context.CancelCauseFunc
	idleTimer *time.Timer
	idle      time.Duration
	body      io.ReadCloser
	read      int64 // bytes
	once      sync.Once
}

// Read implements io.Reader; a failure is an *Error.
func (b *callBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.read += int64(n)
	if bound := b.client.options.MaxCallResponseBytes; b.read > bound {
		err := b.failure(oversized(readlimit.Body, b.read, bound))
		b.client.recordExceeded(err)
		return 0, err
	}
	if err == nil {
		b.idleTimer.Reset(b.idle)
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.idleTimer.Stop()
		return n, io.EOF
	}
	if cause := context.Cause(b.ctx); cause != nil {
		err = cause
	}
	return n, b.failure(err)
}

func (b *callBody) failure(err error) error {
	return &Error{Target: b.target, Op: opCall, Sent: true, Err: err}
}

// Close implements io.Closer.
func (b *callBody) Close() error {
	b.once.Do(func() {
		b.idleTimer.Stop()
		b.cancel(context.Canceled)
		b.body.Close()
	})
	return nil
}
