package relay

import (
	"cmp"
	"strconv"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// minPaceEvents is how many events show how fast those of an answer follow each other. An entry that
// has just started knows that a fraction of a second after its first answer has begun.
const minPaceEvents = 8

// eventPace measures how fast the events of one answer follow each other.
type eventPace struct {
	first    int // number of the first event
	firstAt  time.Time
	recorded bool
}

// recordEventPace records the number of an event that was just forwarded.
func (ex *activeExchange) recordEventPace(lastEventID string) {
	pace := &ex.progress.pace
	number, err := strconv.Atoi(lastEventID)
	switch {
	case err != nil || pace.recorded:
	case pace.firstAt.IsZero():
		pace.first, pace.firstAt = number, time.Now()
	case number-pace.first >= minPaceEvents:
		pace.recorded = true
		ex.router.options.Stats.RecordEvents(ex.service, number-pace.first, time.Since(pace.firstAt))
	}
}

// eventsAtCaller returns the number of the last event that the caller has; 0 if it has none, or
// if that has no number.
func (ex *activeExchange) eventsAtCaller() int {
	number, err := strconv.Atoi(cmp.Or(ex.lastEventID, ex.exchange.LastEventID))
	if err != nil {
		return 0
	}
	return max(0, number)
}

// expectedAnswer returns how long the whole answer takes.
func (ex *activeExchange) expectedAnswer() dispatch.AnswerDuration {
	stats, prompt := ex.router.options.Stats, ex.exchange.Prompt
	if prompt == nil {
		return dispatch.AnswerDuration{Expected: typicalAnswerTime}
	}
	d := dispatch.AnswerDuration{Expected: typicalAnswerTime, Longest: stats.EstimateAnswerDuration(ex.service, prompt.MaxOutput)}
	if estimate := ex.estimatedOutput(); estimate > 0 {
		d.Expected = stats.EstimateAnswerDuration(ex.service, estimate)
	}
	return d
}

// expectedRest returns how long the answer goes on beyond what the caller has of it.
func (ex *activeExchange) expectedRest() time.Duration {
	lasted := ex.router.options.Stats.EstimateEvents(ex.service, ex.eventsAtCaller())
	if ex.headSent {
		lasted = max(lasted, ex.progress.writtenAt.Sub(ex.progress.firstAt))
	}
	return ex.expectedAnswer().Rest(lasted)
}
