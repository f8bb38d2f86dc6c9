package suspect

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Loss is a run of a request whose connection to the endpoint ended before any part of the
// answer had arrived.
type Loss struct {
	Fingerprint fleet.Fingerprint
	Sent        time.Time // when the request was sent to the endpoint
	Ended       time.Time // when the connection ended
	Exchange    string    // ID of the exchange, unique in the fleet
	Sequence    int       // number of this loss among those of the exchange, from 1
	// EndpointSurvived reports whether other connections to the endpoint stayed open. Then perhaps only
	// the answer was lost, and the loss counts half.
	EndpointSurvived bool
}

// Weights of losses.
const (
	crashWeight    = 2
	survivedWeight = 1
)

func (l Loss) weight() int {
	if l.EndpointSurvived {
		return survivedWeight
	}
	return crashWeight
}

// Finding is what is known about a request.
type Finding struct {
	Fingerprint fleet.Fingerprint
	Weight      int       // total weight of its consecutive losses
	Proven      bool      // an endpoint has answered it: it does not crash endpoints
	Updated     time.Time // time of the latest loss or answer
}

// Quarantined reports whether the request is refused at now, by the rule for a request of which
// it isn't known what else ran on the endpoints.
func (f Finding) Quarantined(now time.Time, limits Limits) bool {
	return !f.Proven && f.Weight >= MultiSuspectCrashes*crashWeight && now.Sub(f.Updated) < limits.TTL
}
