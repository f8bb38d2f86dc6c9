package engine

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

const opDecode = "decode"

// Decode implements Client. The stream's ctx is the given one: when it ends,
// Next fails. r.DeadlineMs, when set, bounds the wait for the first chunk.
func (c *HTTPClient) Decode(ctx context.Context, t Target, gate Gate, r engineapi.DecodeRequest) (Stream, error) {
	body, err := encode(r)
	if err != nil {
		return nil, c.finish(opDecode, &Error{Target: t, Op: opDecode, Err: err})
	}
	caller := ctx
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	follow := context.AfterFunc(caller, func() { cancel(context.Cause(caller)) })
	silence := NewWatch(c.options.HeaderTimeout, func() { cancel(ErrIdle) })
	x := exchange{op: opDecode, method: http.MethodPost, path: "/v1/decode"}
	response, failure := c.open(ctx, t, gate, x, body)
	if failure != nil {
		follow()
		silence.Close()
		cancel(failure)
		return nil, c.finish(opDecode, failure)
	}
	silence.SetLimit(c.firstTimeout(r.DeadlineMs))
	c.metrics.streams.Inc()
	return &decodeStream{
		client:   c,
		ctx:      ctx,
		cancel:   cancel,
		unfollow: follow,
		silence:  silence,
		body:     response.Body,
		chunks:   newChunkReader(response.Body, c.options.MaxLine, r.Attempt),
		position: position{target: t, attempt: r.Attempt, next: r.Offset, end: r.MaxTokens},
	}, nil
}

// open sends the request, a second time only if nothing of the first has left.
func (c *HTTPClient) open(ctx context.Context, t Target, gate Gate, x exchange, body []byte) (*http.Response, *Error) {
	response, s, failure := c.post(ctx, t, gate, x, body)
	if failure != nil && !failure.Sent && s.stale() && ctx.Err() == nil {
		response, _, failure = c.post(ctx, t, gate, x, body)
	}
	if failure != nil {
		return nil, failure
	}
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || media != engineapi.MediaEvents {
		response.Body.Close()
		return nil, &Error{Target: t, Op: x.op, Sent: true, Err: ErrMalformed}
	}
	return response, nil
}

func (c *HTTPClient) firstTimeout(deadlineMs int64) time.Duration {
	bound := c.options.FirstTimeout
	if deadlineMs > 0 && deadlineMs < bound.Milliseconds() {
		return time.Duration(deadlineMs) * time.Millisecond
	}
	return bound
}

// decodeStream is a Stream for one goroutine; Close may come from another.
type decodeStream struct {
	client   *HTTPClient
	ctx      context.Context // of the HTTP request
	cancel   context.CancelCauseFunc
	unfollow func() bool // ctx no longer ends with the caller's
	silence  *Watch      // ends ctx when no chunk comes
	body     io.ReadCloser
	chunks   *chunkReader
	position position
	began    bool  // the first chunk has come
	err      error // what Next gives from now on
	once     sync.Once
}

// Next implements Stream.
func (s *decodeStream) Next() (engineapi.Chunk, error) {
	if s.err != nil {
		return engineapi.Chunk{}, s.err
	}
	if s.began {
		s.silence.Begin()
	}
	chunk, err := s.chunks.next()
	if err == nil {
		err = s.position.take(chunk)
	}
	if err != nil {
		s.fail(err)
		return engineapi.Chunk{}, s.err
	}
	if chunk.Finish != engineapi.FinishNone {
		s.err = io.EOF
		_ = s.client.finish(opDecode, nil)
		s.once.Do(s.startDrain)
		return chunk, nil
	}
	s.pause()
	return chunk, nil
}

// pause ends the wait for a chunk until Next is called again.
//
// Failure: a caller reads slowly, so that its answer's next token waits here.
// Were that time counted, an engine that has sent all that it has would be
// given up on as silent and blamed.
func (s *decodeStream) pause() {
	if !s.began {
		s.began = true
		s.silence.SetLimit(s.client.options.IdleTimeout)
	}
	s.silence.End()
}

// fail keeps the first error: nothing that comes after it is passed on.
func (s *decodeStream) fail(err error) {
	if because := context.Cause(s.ctx); because != nil {
		err = because
	}
	var known *Error
	if !errors.As(err, &known) {
		known = &Error{Target: s.position.target, Op: opDecode, Sent: true, Err: err}
	}
	s.err = s.client.finish(opDecode, known)
	s.release()
}

// Close implements Stream.
func (s *decodeStream) Close() error {
	s.release()
	return nil
}

// After its last chunk a stream may take so long, and send so many bytes, to
// end its body; then its connection can be used again.
const (
	drainTimeout = 100 * time.Millisecond
	drainBytes   = 1024
)

// startDrain leaves the caller's context before Next returns: the caller
// usually ends it at once, which would close the connection.
func (s *decodeStream) startDrain() {
	s.unfollow()
	s.silence.SetLimit(drainTimeout)
	go s.drain()
}

// drain reads the end of the body, which comes after the last chunk, beside
// the caller: the next stream to this endpoint then needs no new connection.
// What is read is dropped.
func (s *decodeStream) drain() {
	_, _ = io.CopyN(io.Discard, s.chunks.buffer, drainBytes)
	s.end()
}

// release ends the connection of a stream that isn't whole: what an endpoint
// sends after a bad chunk is never read.
func (s *decodeStream) release() { s.once.Do(s.end) }

func (s *decodeStream) end() {
	s.unfollow()
	s.silence.Close()
	s.cancel(context.Canceled)
	s.body.Close()
	s.client.metrics.streams.Dec()
}
