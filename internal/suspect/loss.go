package suspect

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Loss is a run of a request that ended with its endpoint's connections, before a part of
// the answer had come.
type Loss struct {
	Fingerprint fleet.Fingerprint
	Sent        time.Time // when the request was sent there
	Ended       time.Time // when its connection ended
	Exchange    string    // names the one that it was sent for, in the whole fleet
	Nth         int       // of this exchange's losses, from 1
	// Outlived tells that the endpoint kept other connections. It may have lost an answer
	// only, and such a loss counts half.
	Outlived bool
}

// The weights of losses.
const (
	crashWeight    = 2
	outlivedWeight = 1
)

func (l Loss) weight() int {
	if l.Outlived {
		return outlivedWeight
	}
	return crashWeight
}

// Finding is what is known of a request.
type Finding struct {
	Fingerprint fleet.Fingerprint
	Weight      int       // of the losses that came one after another
	Proven      bool      // an endpoint has answered it: it doesn't crash endpoints
	At          time.Time // of the newest loss or answer
}

// Quarantined tells whether the request is refused at a moment, by the rule for a request
// whose neighbours aren't known.
func (f Finding) Quarantined(now time.Time, limits Limits) bool {
	return !f.Proven && f.Weight >= CompanyCrashes*crashWeight && now.Sub(f.At) < limits.Life
}
