package admission

import "time"

// bucket is a token bucket that also takes tokens given by hand.
type bucket struct {
	tokens float64
	filled time.Time
}

// fill adds what the time since the last fill has earned, up to burst.
func (b *bucket) fill(now time.Time, perSec, burst float64) {
	if b.filled.IsZero() {
		b.tokens, b.filled = burst, now
		return
	}
	if passed := now.Sub(b.filled); passed > 0 {
		b.tokens += passed.Seconds() * perSec
		b.filled = now
	}
	b.tokens = min(b.tokens, burst)
}

// until gives the time until one token is there.
func (b *bucket) until(perSec float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSec * float64(time.Second))
}
