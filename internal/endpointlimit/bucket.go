package endpointlimit

import "time"

// savedTime is what is saved up beyond one request: what the whole fleet may send in a
// while, for entries that ask in bunches.
const savedTime = 20 * time.Millisecond

// Bucket is leave for requests that is earned with time. The zero Bucket is empty.
type Bucket struct {
	level  float64
	filled time.Time
}

// saved is how many requests are saved up leave for under a limit.
func saved(perSecond float64) float64 { return 1 + perSecond*savedTime.Seconds() }

// Fill adds what was earned since the last Fill at a rate, of a limit of the whole fleet;
// the first Fill earns nothing.
func (b *Bucket) Fill(now time.Time, rate, limit float64) {
	if !b.filled.IsZero() {
		passed := max(0, now.Sub(b.filled).Seconds())
		b.level = min(saved(limit), b.level+passed*rate)
	}
	b.filled = now
}

// Take takes leave for one request; false where there is none.
func (b *Bucket) Take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// FreeIn is the time until there is leave for one request after ahead others, longest at
// most.
func (b *Bucket) FreeIn(rate float64, ahead int, longest time.Duration) time.Duration {
	missing := 1 + float64(ahead) - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 || missing/rate >= longest.Seconds() {
		return longest
	}
	return time.Duration(missing / rate * float64(time.Second))
}
