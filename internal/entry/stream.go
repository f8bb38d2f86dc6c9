package entry

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// streamSink writes chunks to a caller as they come.
type streamSink struct {
	x         *exchange
	events    *eventWriter
	writeTime time.Duration
	armed     time.Time // when the write deadline was last moved
}

func newStreamSink(x *exchange, h replyHead, writeTime time.Duration) *streamSink {
	return &streamSink{x: x, events: newEventWriter(h), writeTime: writeTime}
}

// WriteChunk implements route.Sink. Each chunk is flushed: a token kept back counts
// against the caller's time between tokens.
func (s *streamSink) WriteChunk(c engineapi.Chunk) error {
	if !s.x.began {
		s.x.startStream()
	}
	s.arm()
	if _, err := s.x.w.Write(s.events.chunk(c)); err != nil {
		return err
	}
	return s.x.control.Flush()
}

// arm moves the write deadline, so that a caller who stops reading is given
// up on and its decode slot freed. Moving it for each token would cost a timer
// update each time; half the bound is often enough.
func (s *streamSink) arm() {
	now := time.Now()
	if now.Sub(s.armed) < s.writeTime/2 {
		return
	}
	s.armed = now
	// Recorders in tests have no deadline.
	_ = s.x.control.SetWriteDeadline(now.Add(s.writeTime))
}

// done ends a whole stream.
func (s *streamSink) done(_ route.ModelResult) {
	if !s.x.began {
		s.x.startStream()
	}
	s.end([]byte(callerapi.StreamDone), callerapi.OutcomeCompleted)
}

// failed ends a stream that is not whole.
func (s *streamSink) failed(body []byte) { s.end(body, callerapi.OutcomeFailed) }

func (s *streamSink) end(data []byte, outcome callerapi.Outcome) {
	s.armed = time.Time{}
	s.arm()
	s.x.w.Header().Set(callerapi.HeaderOutcome, string(outcome))
	_, _ = s.x.w.Write([]byte(eventStart + string(data) + eventEnd)) // a caller that is gone can't be told
	_ = s.x.control.Flush()
}
