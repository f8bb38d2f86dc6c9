package endpointlimit

import "time"

// burstDuration is the time at the limit of the whole fleet for which a bucket saves up
// tokens, beyond one token: entries request permits in bursts.
const burstDuration = 20 * time.Millisecond

// TokenBucket is a token bucket; a token permits one request. The zero TokenBucket is empty.
// It is not safe for concurrent use.
type TokenBucket struct {
	tokens   float64
	filledAt time.Time
}

// burstSize returns the capacity of a bucket under a limit, in tokens.
func burstSize(perSecond float64) float64 { return 1 + perSecond*burstDuration.Seconds() }

// Fill adds the tokens since the last Fill at perSecond. limit, of the whole fleet in requests
// a second, sets the capacity. The first Fill adds nothing.
func (b *TokenBucket) Fill(now time.Time, perSecond, limit float64) {
	if !b.filledAt.IsZero() {
		elapsed := max(0, now.Sub(b.filledAt).Seconds())
		b.tokens = min(burstSize(limit), b.tokens+elapsed*perSecond)
	}
	b.filledAt = now
}

// Take takes a token and reports whether there was one.
func (b *TokenBucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// WaitTime returns the time until a token is available after the given number of others have
// taken theirs, at most maxWait.
func (b *TokenBucket) WaitTime(perSecond float64, ahead int, maxWait time.Duration) time.Duration {
	missing := 1 + float64(ahead) - b.tokens
	if missing <= 0 {
		return 0
	}
	if perSecond <= 0 || missing/perSecond >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / perSecond * float64(time.Second))
}
