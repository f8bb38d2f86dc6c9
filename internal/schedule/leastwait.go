package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxCacheProbes bounds the cache lookups of one choice, so that its time
// doesn't grow with the size of the subset.
const maxCacheProbes = 96

// tieWindow is the difference in predicted wait below which two endpoints are
// taken as equal, so that entries with the same view don't all pick one.
const tieWindow = 500 * time.Microsecond

// leastWait picks the endpoint with the least predicted time until the work is
// done: wait, work ahead, the link, and for prefill its own time less what the
// prefix cache saves.
type leastWait struct {
	kind    fleet.EndpointRole
	prefill *PrefillPredictor
	links   LinkCost
}

func newLeastWait(kind fleet.EndpointRole, o ChoiceOptions) leastWait {
	return leastWait{kind: kind, prefill: o.Prefill, links: o.Links}
}

// Choose implements Choice. It walks the candidates from a random place, and
// looks into a cache only where even a full hit could win.
func (p leastWait) Choose(r Request, candidates []endpoint.Candidate, random *rand.Rand) (endpoint.Candidate, bool) {
	if len(candidates) == 0 {
		return endpoint.Candidate{}, false
	}
	whole := p.prefillTime(r.PromptTokens)
	s := search{start: random.IntN(len(candidates)), best: -1}
	links := zoneCosts{request: &r, links: p.links}
	for n := range candidates {
		at := s.index(n, len(candidates))
		c := &candidates[at]
		if avoided(r, c) {
			continue
		}
		wait := c.NextFree + c.QueuedWork + links.cost(c.Zone)
		if s.best >= 0 && wait >= s.score {
			continue
		}
		score := wait + whole - p.saving(r, c, whole, &s)
		if s.best < 0 || score < s.score-tieWindow {
			s.best, s.score = at, score
		}
	}
	if s.best < 0 {
		return endpoint.Candidate{}, false
	}
	return candidates[s.best], true
}

func (p leastWait) prefillTime(tokens int) time.Duration {
	if p.kind != fleet.RolePrefill {
		return 0
	}
	return p.prefill.Predict(tokens)
}

// saving gives the prefill time that the candidate's cache would save.
func (p leastWait) saving(r Request, c *endpoint.Candidate, whole time.Duration, s *search) time.Duration {
	if whole == 0 || len(r.Prefixes) == 0 || s.probes >= maxCacheProbes {
		return 0
	}
	s.probes++
	cached := CachedTokens(r.Prefixes, c.CachedPrefixes)
	if cached == 0 {
		return 0
	}
	return whole - p.prefill.Predict(max(0, r.PromptTokens-cached))
}

// search is the state of one walk over the candidates.
type search struct {
	start  int
	best   int // -1: none yet
	score  time.Duration
	probes int
}

func (s *search) index(n, length int) int {
	at := s.start + n
	if at >= length {
		at -= length
	}
	return at
}

// zoneCosts remembers the link costs of the few zones that one walk meets.
type zoneCosts struct {
	request *Request
	links   LinkCost
	zones   [8]fleet.AvailabilityZone
	costs   [8]time.Duration
	known   int
}

func (z *zoneCosts) cost(zone fleet.AvailabilityZone) time.Duration {
	for n := range z.known {
		if z.zones[n] == zone {
			return z.costs[n]
		}
	}
	cost := z.links.Cost(z.request.EntryZone, zone, z.request.KVBytes)
	if z.known < len(z.zones) {
		z.zones[z.known], z.costs[z.known] = zone, cost
		z.known++
	}
	return cost
}

func avoided(r Request, c *endpoint.Candidate) bool {
	if len(r.Avoid) == 0 {
		return false
	}
	_, ok := r.Avoid[c.ID]
	return ok
}
