package relay

import "time"

// progress is when the parts of one exchange's answer came.
type progress struct {
	sentAt    time.Time // of the newest send
	firstAt   time.Time // when the first byte was passed on
	prefillMs int64     // that a prefill took; 0 without one
	writes    int
	writtenAt time.Time     // of the newest part passed on
	pause     time.Duration // longest one between two parts
	pauseAt   time.Time     // when it began
}

// wrote takes in that a part was passed on.
func (p *progress) wrote(now time.Time) {
	if !p.writtenAt.IsZero() && now.Sub(p.writtenAt) > p.pause {
		p.pause, p.pauseAt = now.Sub(p.writtenAt), p.writtenAt
	}
	p.writtenAt = now
	p.writes++
}

// since gives a time of the exchange in ms after its arrival.
func (l *life) since(at time.Time) int64 { return at.Sub(l.x.Received).Milliseconds() }

// pauseStart is when the longest pause began, ms after the arrival; 0 without one.
func (l *life) pauseStart() int64 {
	if l.progress.pauseAt.IsZero() {
		return 0
	}
	return l.since(l.progress.pauseAt)
}

// lateAnswer tells whether the first part was passed on after the target, or
// another one after a longer pause than the route's.
func (l *life) lateAnswer() bool {
	lateFirst := l.route.Target > 0 && l.progress.firstAt.Sub(l.x.Received) > l.route.Target
	return lateFirst || l.route.EventGap > 0 && l.progress.pause > l.route.EventGap
}
