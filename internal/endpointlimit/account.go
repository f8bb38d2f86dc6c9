package endpointlimit

import "time"

// longestAgain bounds when an entry asks again. A limit may rise meanwhile.
const longestAgain = 5 * time.Second

// account is a keeper's part of one endpoint's limit.
type account struct {
	heard  Heard
	bucket Bucket
	asked  time.Time
	// denied counts the questions since leave was last given. Who asked first comes first
	// again, so that entries by the hundred don't all ask for the same one.
	denied int
}

// newAccount makes the account of a keeper that began at began, and has given nothing
// since that it remembers.
func newAccount(now, began time.Time, h Heard, p Part) *account {
	a := &account{heard: h}
	a.fill(began, p)
	a.fill(now, p)
	return a
}

func (a *account) fill(now time.Time, p Part) {
	a.bucket.Fill(now, p.perSecond(a.heard), a.heard.PerSecond)
}

// take takes leave for one request, or tells when to ask again.
func (a *account) take(p Part) (granted bool, again time.Duration) {
	if a.bucket.Take() {
		a.denied = 0
		return true, 0
	}
	again = a.bucket.FreeIn(p.perSecond(a.heard), a.denied, longestAgain)
	a.denied++
	return false, again
}
