package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
)

// Words are what an answer says of which requests its endpoint wants.
type Words struct {
	Limit   endpointlimit.Word // how much it takes from all entries
	Rest    time.Duration      // for which it wants nothing from this entry; 0 for none
	Leaving bool               // it takes no new work any more
}

// hear takes in the words of an answer to a request that was sent at sent. Where another
// incarnation answered, they say nothing of the one that was meant.
func (l *life) hear(e *dispatch.Endpoint, sent time.Time, reply *Reply) {
	if reply.Misfit {
		return
	}
	l.hearLimit(e, sent, reply.Limit)
	l.hearUnwanted(e, reply.Words)
}

// hearUnwanted takes in that an endpoint asks for rest, or leaves.
func (l *life) hearUnwanted(e *dispatch.Endpoint, w Words) {
	now, book := time.Now(), l.router.options.Book
	if w.Rest > 0 {
		book.Rest(now, e, w.Rest)
		l.router.metrics.unwantedWords.WithLabelValues(dispatch.Resting.String()).Inc()
		l.router.options.Part.Info("An endpoint asks for rest.", "endpoint", e.ID, "service", l.service,
			"rest_ms", w.Rest.Milliseconds(), "request", l.x.ID)
	}
	if w.Leaving && book.Leave(now, e) {
		l.router.metrics.unwantedWords.WithLabelValues(dispatch.Leaving.String()).Inc()
		l.router.options.Part.Info("An endpoint leaves.", "endpoint", e.ID, "service", l.service, "request", l.x.ID)
	}
}

// noteSend writes of a send to an endpoint that named a limit, or wants nothing.
func (l *life) noteSend(e *dispatch.Endpoint, kind sendKind) {
	l.usePermit(e, kind)
	unwanted := l.router.options.Book.Unwanted(time.Now(), e)
	if unwanted == dispatch.Wanted {
		return
	}
	l.router.metrics.unwantedSends.WithLabelValues(unwanted.String(), string(kind)).Inc()
	l.router.options.Part.Warn("Sent to an endpoint that wants nothing.", "request", l.x.ID, "endpoint", e.ID,
		"why", unwanted, "kind", kind)
}
