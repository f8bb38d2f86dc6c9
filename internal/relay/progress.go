package relay

import "time"

// progress records when the parts of one exchange's answer were forwarded.
type progress struct {
	sentAt    time.Time     // of the latest attempt
	firstAt   time.Time     // when the first byte was forwarded
	prefillMs int64         // duration of the prefill; 0 without one
	writes    int           // parts forwarded
	writtenAt time.Time     // of the latest part forwarded
	pause     time.Duration // longest one between two parts
	pauseAt   time.Time     // when it began

	pace eventPace

	closeDelimited    bool   // the latest answer ends with its connection
	endedBy           string // why the end of that connection is regular, or not; empty before it ends
	partialEventBytes int    // received of an event that was incomplete at the end of the latest answer
}

// recordWrite records that a part was forwarded.
func (p *progress) recordWrite(now time.Time) {
	if !p.writtenAt.IsZero() && now.Sub(p.writtenAt) > p.pause {
		p.pause, p.pauseAt = now.Sub(p.writtenAt), p.writtenAt
	}
	p.writtenAt = now
	p.writes++
}

// msSinceArrival returns the milliseconds from the arrival of the exchange to a time.
func (ex *activeExchange) msSinceArrival(at time.Time) int64 {
	return at.Sub(ex.exchange.Received).Milliseconds()
}

// pauseStartMs returns when the longest pause began, in ms after the arrival; 0 without one.
func (ex *activeExchange) pauseStartMs() int64 {
	if ex.progress.pauseAt.IsZero() {
		return 0
	}
	return ex.msSinceArrival(ex.progress.pauseAt)
}

// isLate reports whether the first part was forwarded after the target, or another one
// after a longer pause than the route's MaxEventGap.
func (ex *activeExchange) isLate() bool {
	lateFirst := ex.route.Target > 0 && ex.progress.firstAt.Sub(ex.exchange.Received) > ex.route.Target
	return lateFirst || ex.route.MaxEventGap > 0 && ex.progress.pause > ex.route.MaxEventGap
}
