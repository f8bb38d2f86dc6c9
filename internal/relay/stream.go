package relay

import (
	"errors"
	"io"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// passEvents passes on the events of an answer as they come, whole events
// only, until the stream ends.
func (l *life) passEvents(reply *Reply) attempt {
	events := splitter{}
	buffer := make([]byte, copyBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		whole, lastID := events.add(buffer[:n])
		if len(whole) > 0 {
			if !follows(l.lastID, firstEventID(whole)) {
				return attempt{outcome: dispatch.OutcomeLost, reply: reply, err: errOutOfOrder}
			}
			if !l.passOn(reply, whole) {
				return attempt{outcome: dispatch.OutcomeGivenUp, reply: reply}
			}
			events.drop(len(whole))
			if lastID != "" {
				l.lastID = lastID
			}
		}
		if errors.Is(err, io.EOF) {
			return l.endOfEvents(reply, &events)
		}
		if err != nil {
			return attempt{outcome: dispatch.OutcomeLost, reply: reply, err: err}
		}
		if len(events.held) > maxEvent {
			return attempt{outcome: dispatch.OutcomeLost, reply: reply, err: errEventTooLong}
		}
	}
}

// The ways in which a stream is not what it should be.
var (
	errOutOfOrder   = errors.New("an event comes again or out of order")
	errEventTooLong = errors.New("an event is too long")
	errNotResumed   = errors.New("the endpoint did not go on with the stream")
)

func (l *life) passOn(reply *Reply, events []byte) bool {
	if !l.begun {
		l.begin(reply, -1)
	}
	return l.write(events)
}

// endOfEvents ends a stream that its endpoint ended whole. Bytes without the
// end of an event are the endpoint's last ones and are passed on.
func (l *life) endOfEvents(reply *Reply, events *splitter) attempt {
	if !l.begun {
		l.begin(reply, -1)
	}
	if events.rest() && !l.write(events.held) {
		return attempt{outcome: dispatch.OutcomeGivenUp, reply: reply}
	}
	return attempt{outcome: dispatch.OutcomeServed, reply: reply}
}
