package relay

import (
	"errors"
	"fmt"
	"io"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// forwardEvents forwards the events of an endpoint's answer as they arrive, complete events
// only, until the stream ends.
func (ex *activeExchange) forwardEvents(from *dispatch.Endpoint, reply *Reply) attemptResult {
	events := eventSplitter{}
	held := ex.router.options.Reads.Hold(from.ID, readlimit.Event)
	defer held.Release()
	forwarded := false // an event of this answer
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := reply.Body.Read(buffer)
		whole, lastID := events.add(buffer[:n])
		if len(whole) > 0 {
			if !mayFollow(ex.lastEventID, firstEventID(whole)) {
				return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: errOutOfOrder}
			}
			if !forwarded {
				ex.recordEventSource(from)
				forwarded = true
			}
			if !ex.forwardChunk(reply, whole) {
				return attemptResult{outcome: dispatch.OutcomeCanceled, reply: reply}
			}
			events.discard(len(whole))
			if lastID != "" {
				ex.lastEventID = lastID
				ex.recordEventPace(lastID)
			}
		}
		ex.progress.partialEventBytes = len(events.buffered)
		holdErr := held.Resize(int64(cap(events.buffered)))
		if errors.Is(err, io.EOF) {
			return ex.finishEvents(reply, &events)
		}
		if err != nil {
			return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: err}
		}
		if holdErr != nil {
			return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: holdErr}
		}
		if n := int64(len(events.buffered)); n > maxEventBytes {
			exceeded := ex.router.options.Reads.Exceeded(from.ID, readlimit.Event, n, maxEventBytes)
			return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: exceeded}
		}
	}
}

// Errors of a stream that breaks the rules.
var (
	errOutOfOrder = errors.New("an event is repeated or out of order")
	errNotResumed = errors.New("the endpoint did not resume the stream")
	errCutEvent   = fmt.Errorf("the connection ended inside an event: %w", io.ErrUnexpectedEOF)
	errNoEvent    = fmt.Errorf("the connection ended before the first event: %w", io.ErrUnexpectedEOF)
)

func (ex *activeExchange) forwardChunk(reply *Reply, events []byte) bool {
	if !ex.headSent {
		ex.forwardHead(reply, -1)
	}
	return ex.forwardPart(events)
}

// finishEvents ends a stream whose body is complete. Bytes without the end of an event are
// the endpoint's last ones and are forwarded, unless the stream was cut there.
func (ex *activeExchange) finishEvents(reply *Reply, events *eventSplitter) attemptResult {
	if reply.CloseDelimited {
		if err := ex.checkEnd(events); err != nil {
			return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: err}
		}
	}
	if !ex.headSent {
		ex.forwardHead(reply, -1)
	}
	if events.hasPartial() && !ex.forwardPart(events.buffered) {
		return attemptResult{outcome: dispatch.OutcomeCanceled, reply: reply}
	}
	return attemptResult{outcome: dispatch.OutcomeServed, reply: reply}
}

// checkEnd returns why a stream that ended with its connection is incomplete; nil if it may
// be complete. The end of a connection looks the same after the last event and when the
// endpoint fails.
func (ex *activeExchange) checkEnd(events *eventSplitter) error {
	switch {
	case events.endsInsideEvent():
		return errCutEvent
	case !events.hasEvent && ex.lastEventID == "":
		return errNoEvent
	}
	return nil
}
