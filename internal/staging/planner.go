package staging

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Endpoint is the known state of one endpoint.
type Endpoint struct {
	ID         string
	Stage      pb.Stage
	Ready      bool     // accepts requests, or changes its stage
	Assigned   pb.Stage // stage that it is changing to; unspecified for none
	Registered uint64
}

// Change is a new stage for one endpoint.
type Change struct {
	ID    string
	Stage pb.Stage
}

// The parameters of a plan.
const (
	// prefillLoadShare is the share of a service's endpoints that would be kept fully
	// busy by prefill at the service's design load: prefill of a prompt of 3,000
	// tokens takes about 0.1 s, and its answer an eighth of a decode endpoint's
	// memory for about 4 s.
	prefillLoadShare = 0.12
	// sparePrefillFactor is the number of spare prefill endpoints per square root of
	// that load: prompts arrive in bursts, and those that wait for prefill miss their
	// targets. The square root is used since bursts average out over many endpoints;
	// a share that suits 12 endpoints leaves too little memory for answers at 60: of
	// 889 requests replayed to 60 endpoints, 863 were in time with 11 prefill
	// endpoints, and 843 with 15.
	sparePrefillFactor = 1.5
	// imbalanceDelay is how long the number of prefill endpoints must be off before
	// an endpoint is changed. A crashed endpoint counts as missing only after some
	// four seconds without heartbeats, and in most cases is back by then.
	imbalanceDelay = 1500 * time.Millisecond
	// endpointsPerChange is the number of endpoints per concurrent change. A change
	// takes an endpoint out of service for some ten seconds.
	endpointsPerChange = 6
)

// Planner plans the stages of one service's endpoints. The zero Planner is ready to use. It
// is not safe for concurrent use.
type Planner struct {
	imbalancedSince time.Time // zero while the number of prefill endpoints is right
	tooFewPrefill   bool      // the imbalance: too few prefill endpoints, or too many
}

// Step returns the change that is due; ok is false if there is none. Only a few
// changes run at a time, since each takes an endpoint out of service.
func (p *Planner) Step(now time.Time, endpoints []Endpoint) (change Change, ok bool) {
	ready := readyOf(endpoints)
	prefill, changing := countPrefill(ready)
	target := TargetPrefillCount(len(ready))
	if changing >= max(1, len(ready)/endpointsPerChange) || len(ready) < 2 || prefill == target {
		p.imbalancedSince = time.Time{}
		return Change{}, false
	}
	tooFew := prefill < target
	if p.imbalancedSince.IsZero() || p.tooFewPrefill != tooFew {
		p.imbalancedSince, p.tooFewPrefill = now, tooFew
	}
	if now.Sub(p.imbalancedSince) < imbalanceDelay {
		return Change{}, false
	}
	if tooFew {
		return changeNewest(ready, pb.Stage_STAGE_DECODE, pb.Stage_STAGE_PREFILL)
	}
	return changeNewest(ready, pb.Stage_STAGE_PREFILL, pb.Stage_STAGE_DECODE)
}

// TargetPrefillCount returns the number of prefill endpoints that n endpoints should include.
func TargetPrefillCount(n int) int {
	load := prefillLoadShare * float64(n)
	return max(1, int(math.Round(load+sparePrefillFactor*math.Sqrt(load))))
}

func readyOf(endpoints []Endpoint) []Endpoint {
	var ready []Endpoint
	for _, e := range endpoints {
		if e.Ready && e.Stage != pb.Stage_STAGE_UNSPECIFIED {
			ready = append(ready, e)
		}
	}
	return ready
}

// countPrefill counts the prefill endpoints that there will be once the changes under
// way are done, and these changes.
func countPrefill(endpoints []Endpoint) (prefill, changing int) {
	for _, e := range endpoints {
		if cmp.Or(e.Assigned, e.Stage) == pb.Stage_STAGE_PREFILL {
			prefill++
		}
		if e.Assigned != pb.Stage_STAGE_UNSPECIFIED {
			changing++
		}
	}
	return prefill, changing
}

// changeNewest returns a change of the newest endpoint of a stage: it caches the fewest
// prompts.
func changeNewest(endpoints []Endpoint, from, to pb.Stage) (Change, bool) {
	candidates := slices.DeleteFunc(slices.Clone(endpoints), func(e Endpoint) bool { return e.Stage != from || e.Assigned != pb.Stage_STAGE_UNSPECIFIED })
	if len(candidates) == 0 {
		return Change{}, false
	}
	newest := slices.MaxFunc(candidates, func(a, b Endpoint) int { return cmp.Compare(a.Registered, b.Registered) })
	return Change{ID: newest.ID, Stage: to}, true
}
