package admission

import "time"

// bucket is a token bucket. Callers may also add tokens directly.
type bucket struct {
	tokens     float64
	refilledAt time.Time // last refill
}

// refill adds the tokens for the time since the last refill, up to burst.
func (b *bucket) refill(now time.Time, perSec, burst float64) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = burst, now
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += elapsed.Seconds() * perSec
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, burst)
}

// timeToToken returns the time until one token is available.
func (b *bucket) timeToToken(perSec float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSec * float64(time.Second))
}
