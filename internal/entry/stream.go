package entry

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// streamSink writes each chunk to the caller as it arrives.
type streamSink struct {
	x             *exchange
	events        *eventWriter
	writeTimeout  time.Duration
	deadlineSetAt time.Time // when the write deadline was last set
}

func newStreamSink(x *exchange, h replyFields, writeTimeout time.Duration) *streamSink {
	return &streamSink{x: x, events: newEventWriter(h), writeTimeout: writeTimeout}
}

// WriteChunk implements route.Sink. It flushes each chunk, as buffering would add to
// the caller's time between tokens.
func (s *streamSink) WriteChunk(c engineapi.Chunk) error {
	if !s.x.headersSent {
		s.x.startStream()
	}
	s.extendWriteDeadline()
	if _, err := s.x.w.Write(s.events.chunk(c)); err != nil {
		return err
	}
	return s.x.control.Flush()
}

// extendWriteDeadline moves the write deadline forward. When a caller stops
// reading, the deadline ends the request and frees its decode slot. It is moved
// once half of it has passed, as a timer update for each token is expensive.
func (s *streamSink) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) < s.writeTimeout/2 {
		return
	}
	s.deadlineSetAt = now
	// Response recorders in tests don't support deadlines.
	_ = s.x.control.SetWriteDeadline(now.Add(s.writeTimeout))
}

// finish ends a stream that is complete.
func (s *streamSink) finish(_ route.ModelResult) {
	if !s.x.headersSent {
		s.x.startStream()
	}
	s.end([]byte(callerapi.StreamDone), callerapi.OutcomeCompleted)
}

// fail ends an incomplete stream with body, an encoded ErrorBody.
func (s *streamSink) fail(body []byte) { s.end(body, callerapi.OutcomeFailed) }

func (s *streamSink) end(data []byte, outcome callerapi.Outcome) {
	s.deadlineSetAt = time.Time{}
	s.extendWriteDeadline()
	s.x.w.Header().Set(callerapi.HeaderOutcome, string(outcome))
	_, _ = s.x.w.Write([]byte(eventStart + string(data) + eventEnd)) // the caller may have disconnected
	_ = s.x.control.Flush()
}
