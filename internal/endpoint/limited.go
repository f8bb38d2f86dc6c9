package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
)

// longestLimited bounds the predicted wait for a limit: the next heartbeat may end it.
const longestLimited = time.Minute

// limited keeps the limit that an endpoint names with its heartbeats. The home alone gives
// grants and each is for one request, so that what it gives is what the endpoint gets from
// all entries. A new home has saved up nothing. The zero limited has no limit.
type limited struct {
	named     bool
	perSecond float64
	bucket    endpointlimit.Bucket
}

// said takes in the word of a heartbeat, nil for none. What is no limit changes nothing.
func (l *limited) said(now time.Time, perSecond *float64) {
	if perSecond == nil {
		l.named = false
		return
	}
	if !endpointlimit.IsLimit(*perSecond) {
		return
	}
	l.fill(now)
	l.named, l.perSecond = true, *perSecond
}

func (l *limited) fill(now time.Time) { l.bucket.Fill(now, l.perSecond, l.perSecond) }

// take takes leave for one grant; false where there is none.
func (l *limited) take(now time.Time) bool {
	l.fill(now)
	return !l.named || l.bucket.Take()
}

// freeIn predicts when there is leave for a grant after ahead others.
func (l *limited) freeIn(now time.Time, ahead int) time.Duration {
	if !l.named {
		return 0
	}
	l.fill(now)
	return l.bucket.FreeIn(l.perSecond, ahead, longestLimited)
}

// freeIn predicts when an endpoint has a slot, and leave for it, after ahead others.
func (c *core) freeIn(now time.Time, r *record, ahead int) time.Duration {
	return max(r.forecast(now, c.predictor).freeIn(ahead), r.limited.freeIn(now, ahead))
}
