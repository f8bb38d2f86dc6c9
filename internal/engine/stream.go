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

// Decode implements Client. Once ctx ends, the stream's Next fails. r.DeadlineMs,
// when set, limits the wait for the first chunk.
func (c *HTTPClient) Decode(ctx context.Context, t Target, gate Gate, r engineapi.DecodeRequest) (Stream, error) {
	body, err := encode(r)
	if err != nil {
		return nil, c.countResult(opDecode, &Error{Target: t, Op: opDecode, Err: err})
	}
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stopFollowing := context.AfterFunc(callerCtx, func() { cancel(context.Cause(callerCtx)) })
	idleTimer := NewIdleTimer(c.options.DecodeHeaderTimeout, func() { cancel(ErrIdleTimeout) })
	x := operation{op: opDecode, method: http.MethodPost, path: "/v1/decode"}
	response, failure := c.openStream(ctx, t, gate, x, body)
	if failure != nil {
		stopFollowing()
		idleTimer.Close()
		cancel(failure)
		return nil, c.countResult(opDecode, failure)
	}
	idleTimer.SetLimit(c.firstChunkTimeout(r.DeadlineMs))
	c.metrics.openStreams.Inc()
	return &decodeStream{
		client:        c,
		ctx:           ctx,
		cancel:        cancel,
		stopFollowing: stopFollowing,
		idleTimer:     idleTimer,
		body:          response.Body,
		chunks:        newChunkReader(response.Body, c.options.MaxLineBytes, r.Attempt),
		position:      streamPosition{target: t, attempt: r.Attempt, nextOffset: r.Offset, maxOffset: r.MaxTokens},
	}, nil
}

// openStream sends the request, a second time only if nothing was sent the first time.
func (c *HTTPClient) openStream(ctx context.Context, t Target, gate Gate, x operation, body []byte) (*http.Response, *Error) {
	response, s, failure := c.post(ctx, t, gate, x, body)
	if failure != nil && !failure.Sent && s.metClosedConn() && ctx.Err() == nil {
		response, _, failure = c.post(ctx, t, gate, x, body)
	}
	if failure != nil {
		return nil, failure
	}
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || media != engineapi.EventStreamMediaType {
		response.Body.Close()
		return nil, &Error{Target: t, Op: x.op, Sent: true, Err: ErrMalformed}
	}
	return response, nil
}

func (c *HTTPClient) firstChunkTimeout(deadlineMs int64) time.Duration {
	bound := c.options.FirstChunkTimeout
	if deadlineMs > 0 && deadlineMs < bound.Milliseconds() {
		return time.Duration(deadlineMs) * time.Millisecond
	}
	return bound
}

// decodeStream implements Stream. Next is for one goroutine; another one may call Close.
type decodeStream struct {
	client         *HTTPClient
	ctx            context.Context // of the HTTP request
	cancel         context.CancelCauseFunc
	stopFollowing  func() bool // detaches ctx from the caller's context
	idleTimer      *IdleTimer  // cancels ctx when no chunk arrives in time
	body           io.ReadCloser
	chunks         *chunkReader
	position       streamPosition
	firstChunkRead bool
	err            error // returned by all further calls of Next
	once           sync.Once
}

// Next implements Stream.
func (s *decodeStream) Next() (engineapi.Chunk, error) {
	if s.err != nil {
		return engineapi.Chunk{}, s.err
	}
	if s.firstChunkRead {
		s.idleTimer.BeginWait()
	}
	chunk, err := s.chunks.next()
	if err == nil {
		err = s.position.advance(chunk)
	}
	if err != nil {
		s.fail(err)
		return engineapi.Chunk{}, s.err
	}
	if chunk.Finish != engineapi.FinishNone {
		s.err = io.EOF
		_ = s.client.countResult(opDecode, nil)
		s.once.Do(s.startDrain)
		return chunk, nil
	}
	s.endWait()
	return chunk, nil
}

// endWait stops the idle timer until Next is called again.
//
// Failure: a caller reads slowly, so that received tokens wait here. If that time
// counted, an engine that has sent all that it has would be blamed for a timeout.
func (s *decodeStream) endWait() {
	if !s.firstChunkRead {
		s.firstChunkRead = true
		s.idleTimer.SetLimit(s.client.options.StreamIdleTimeout)
	}
	s.idleTimer.EndWait()
}

// fail keeps the first error; nothing received after it is passed on.
func (s *decodeStream) fail(err error) {
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	var known *Error
	if !errors.As(err, &known) {
		known = &Error{Target: s.position.target, Op: opDecode, Sent: true, Err: err}
	}
	s.err = s.client.countResult(opDecode, known)
	s.release()
}

// Close implements Stream.
func (s *decodeStream) Close() error {
	s.release()
	return nil
}

// Limits for reading the rest of the body after the last chunk. A stream that ends
// within them leaves its connection for reuse.
const (
	drainTimeout  = 100 * time.Millisecond
	maxDrainBytes = 1024
)

// startDrain detaches from the caller's context before Next returns: the caller
// usually cancels it at once, which would close the connection.
func (s *decodeStream) startDrain() {
	s.stopFollowing()
	s.idleTimer.SetLimit(drainTimeout)
	go s.drain()
}

// drain reads and discards the rest of the body after the last chunk, so that the
// next stream to this endpoint can reuse the connection.
func (s *decodeStream) drain() {
	_, _ = io.CopyN(io.Discard, s.chunks.reader, maxDrainBytes)
	s.closeAll()
}

// release closes the connection of an incomplete stream: nothing that an endpoint
// sends after a bad chunk is read.
func (s *decodeStream) release() { s.once.Do(s.closeAll) }

func (s *decodeStream) closeAll() {
	s.stopFollowing()
	s.idleTimer.Close()
	s.cancel(context.Canceled)
	s.body.Close()
	s.client.metrics.openStreams.Dec()
}
