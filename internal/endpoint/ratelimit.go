package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
)

// maxRateLimitWait bounds the predicted wait for a rate limit: the next
// heartbeat may lift it.
const maxRateLimitWait = time.Minute

// rateLimit enforces the limit that an endpoint sends in its heartbeats. Only
// the home issues grants, and each grant is for one request, so this limits the
// requests of all entries together. A new home starts without saved permits.
// The zero value has no limit.
type rateLimit struct {
	set       bool
	perSecond float64
	bucket    endpointlimit.TokenBucket
}

// update applies the limit of a heartbeat, nil for none. An invalid limit is
// ignored.
func (l *rateLimit) update(now time.Time, perSecond *float64) {
	if perSecond == nil {
		l.set = false
		return
	}
	if !endpointlimit.IsValidLimit(*perSecond) {
		return
	}
	l.fill(now)
	l.set, l.perSecond = true, *perSecond
}

func (l *rateLimit) fill(now time.Time) { l.bucket.Fill(now, l.perSecond, l.perSecond) }

// tryTake takes a permit for one grant and reports whether there was one.
// Without a limit there always is.
func (l *rateLimit) tryTake(now time.Time) bool {
	l.fill(now)
	return !l.set || l.bucket.Take()
}

// freeIn predicts when a permit is available after ahead other requests.
func (l *rateLimit) freeIn(now time.Time, ahead int) time.Duration {
	if !l.set {
		return 0
	}
	l.fill(now)
	return l.bucket.WaitTime(l.perSecond, ahead, maxRateLimitWait)
}

// freeIn predicts when an endpoint has a free slot and a permit, after ahead
// other requests.
func (c *core) freeIn(now time.Time, r *record, ahead int) time.Duration {
	return max(r.forecast(now, c.predictor).freeIn(ahead), r.rateLimit.freeIn(now, ahead))
}
