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
)

const opCall = "call"

// Call implements Client. The path of r is the one below the service; /call is
// put before it. Each call is sent once at most. An answer that carries
// engineapi.HeaderRefusal is an *Error with that code: the service did not run
// the call.
func (c *HTTPClient) Call(ctx context.Context, t Target, gate Gate, attempt fleet.AttemptID, r *http.Request) (*http.Response, error) {
	request, err := c.forward(t, attempt, r)
	if err != nil {
		return nil, c.finish(opCall, &Error{Target: t, Op: opCall, Err: err})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	silence := time.AfterFunc(c.options.CallTimeout, func() { cancel(ErrIdle) })
	response, _, failure := c.roundTrip(ctx, t, gate, opCall, request)
	if failure != nil {
		silence.Stop()
		cancel(failure)
		return nil, c.finish(opCall, failure)
	}
	if response.Header.Get(engineapi.HeaderRefusal) != "" {
		silence.Stop()
		failure = refusedCall(t, response)
		cancel(failure)
		return nil, c.finish(opCall, failure)
	}
	silence.Reset(c.options.CallIdle)
	cleanResponse(t, response)
	response.Body = &callBody{
		target: t, ctx: ctx, cancel: cancel, silence: silence, idle: c.options.CallIdle,
		body: response.Body, left: c.options.MaxCallResponse,
	}
	return response, c.finish(opCall, nil)
}

func refusedCall(t Target, response *http.Response) *Error {
	code := engineapi.Code(response.Header.Get(engineapi.HeaderRefusal))
	failure := refused(t, opCall, response)
	if code.Known() {
		failure.Code = code
	}
	return failure
}

// forward makes the request to the endpoint out of the caller's.
func (c *HTTPClient) forward(t Target, attempt fleet.AttemptID, r *http.Request) (*http.Request, error) {
	if !validMethod(r.Method) {
		return nil, fmt.Errorf("%w: method %q", ErrAddress, r.Method)
	}
	target, err := c.callURL(t, r.URL)
	if err != nil {
		return nil, err
	}
	if r.ContentLength > c.options.MaxCallRequest {
		return nil, fmt.Errorf("%w: body over %d bytes", ErrOversized, c.options.MaxCallRequest)
	}
	header := forwardedHeader(r.Header)
	header.Set(engineapi.HeaderAttempt, string(attempt))
	if c.options.Owner != (fleet.Owner{}) {
		header.Set(engineapi.HeaderOwner, c.options.Owner.String())
	}
	return &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          target.Host,
		Header:        header,
		Body:          onceBody{&boundedReader{reader: bodyOf(r), left: c.options.MaxCallRequest}},
		ContentLength: max(r.ContentLength, 0),
	}, nil
}

func bodyOf(r *http.Request) io.Reader {
	if r.Body == nil {
		return http.NoBody
	}
	return r.Body
}

// boundedReader fails, rather than ends, past its bound: a body cut short must
// not look whole.
type boundedReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, ErrOversized
	}
	return n, err
}

// callBody is the answer's body: bounded, and given up when it falls silent.
type callBody struct {
	target  Target
	ctx     context.Context
	cancel  context.CancelCauseFunc
	silence *time.Timer
	idle    time.Duration
	body    io.ReadCloser
	left    int64
	once    sync.Once
}

// Read implements io.Reader; a failure is an *Error.
func (b *callBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, b.failure(ErrOversized)
	}
	if err == nil {
		b.silence.Reset(b.idle)
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.silence.Stop()
		return n, io.EOF
	}
	if because := context.Cause(b.ctx); because != nil {
		err = because
	}
	return n, b.failure(err)
}

func (b *callBody) failure(err error) error {
	return &Error{Target: b.target, Op: opCall, Sent: true, Err: err}
}

// Close implements io.Closer.
func (b *callBody) Close() error {
	b.once.Do(func() {
		b.silence.Stop()
		b.cancel(context.Canceled)
		b.body.Close()
	})
	return nil
}
