package endpointlimit

import "time"

// The figures of an account.
const (
	// leastSaved and savedTime are what a keeper saves up leave for: one request, and what
	// the whole fleet may send in a while, for entries that ask in bunches.
	leastSaved = 1.0
	savedTime  = 20 * time.Millisecond
	// longestAgain bounds when an entry asks again. A limit may rise meanwhile.
	longestAgain = 5 * time.Second
)

// account is a keeper's part of one endpoint's limit: a token bucket.
type account struct {
	heard  Heard
	level  float64
	filled time.Time
	asked  time.Time
	// denied counts the questions since leave was last given. Who asked first comes first
	// again, so that entries by the hundred don't all ask for the same one.
	denied int
}

// saved is how many requests a keeper of the limit saves up leave for.
func saved(h Heard) float64 { return leastSaved + h.PerSecond*savedTime.Seconds() }

// newAccount makes the account of a keeper that began at began, and has given nothing
// since that it remembers.
func newAccount(now, began time.Time, h Heard, p Part) *account {
	earned := p.perSecond(h) * now.Sub(began).Seconds()
	return &account{heard: h, level: min(saved(h), earned), filled: now}
}

func (a *account) fill(now time.Time, p Part) {
	passed := max(0, now.Sub(a.filled).Seconds())
	a.level = min(saved(a.heard), a.level+passed*p.perSecond(a.heard))
	a.filled = now
}

// take takes leave for one request, or tells when to ask again.
func (a *account) take(p Part) (granted bool, again time.Duration) {
	if a.level >= 1 {
		a.level--
		a.denied = 0
		return true, 0
	}
	missing := 1 - a.level + float64(a.denied)
	a.denied++
	seconds := longestAgain.Seconds()
	if perSecond := p.perSecond(a.heard); perSecond > 0 {
		seconds = min(seconds, missing/perSecond)
	}
	return false, time.Duration(seconds * float64(time.Second))
}
