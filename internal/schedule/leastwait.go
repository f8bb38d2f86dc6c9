package schedule

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxWalk and maxCacheProbes bound the candidates and the cache lookups of one
// choice, so that its time doesn't grow with the subset. The best of so many
// at random is hardly worse than the best of all.
const (
	maxWalk        = 256
	maxCacheProbes = 64
)

// sampledWalk is how many candidates the sampled policy looks at. The entries'
// digests are some hundred milliseconds old; were each entry to take the best
// of all, they would send what comes meanwhile to the same endpoint.
const sampledWalk = 3

// tieWindow is the difference in predicted wait below which two endpoints are
// taken as equal, so that entries with the same view don't all pick one.
const tieWindow = 500 * time.Microsecond

// leastWait picks the endpoint with the least predicted time until the work is
// done: wait, work ahead, the link, and for prefill its own time less what the
// prefix cache saves.
type leastWait struct {
	kind    fleet.EndpointRole
	walk    int // candidates looked at
	prefill *PrefillPredictor
	links   LinkCost
}

func newLeastWait(kind fleet.EndpointRole, walk int, o ChoiceOptions) leastWait {
	return leastWait{kind: kind, walk: walk, prefill: o.Prefill, links: o.Links}
}

// Choose implements Choice. It walks the candidates from a random place, and
// looks into a cache only where even a full hit could win.
func (p leastWait) Choose(r Request, candidates []endpoint.Candidate, random *rand.Rand) (endpoint.Candidate, bool) {
	if len(candidates) == 0 {
		return endpoint.Candidate{}, false
	}
	whole := p.prefillTime(r.PromptTokens)
	s := search{best: -1, score: math.MaxInt64 - tieWindow, state: random.Uint64() | 1}
	links := zoneCosts{from: r.EntryZone, bytes: r.KVBytes, links: p.links}
	start := random.IntN(len(candidates))
	for n := range len(candidates) {
		if s.seen >= p.walk {
			break
		}
		at := start + n
		if at >= len(candidates) {
			at -= len(candidates)
		}
		c := &candidates[at]
		if avoided(&r, c) {
			continue
		}
		s.seen++
		wait := c.NextFree + c.QueuedWork
		if wait > s.score+tieWindow {
			continue
		}
		wait += links.cost(c.Zone)
		if wait > s.score+tieWindow {
			continue
		}
		s.offer(at, wait+whole-p.saving(&r, c, whole, &s))
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
func (p leastWait) saving(r *Request, c *endpoint.Candidate, whole time.Duration, s *search) time.Duration {
	if whole == 0 || len(r.Prefixes) == 0 || len(c.CachedPrefixes) == 0 || s.probes >= maxCacheProbes {
		return 0
	}
	s.probes++
	blocks := cachedBlocks(r.Prefixes, c.CachedPrefixes, s.blocks)
	if blocks == 0 {
		return 0
	}
	s.blocks = blocks
	return whole - p.prefill.Predict(max(0, r.PromptTokens-blocks*PrefixBlockTokens))
}

// search is the state of one walk over the candidates.
type search struct {
	best   int // -1: none yet
	score  time.Duration
	ties   uint64 // candidates taken as equal to the best so far
	seen   int    // candidates that may be chosen
	probes int    // cache lookups
	blocks int    // cached at the last candidate that had any
	state  uint64 // of the generator that breaks ties
}

// offer takes a candidate that is better than the best so far. Among equals
// each is taken with the same probability.
func (s *search) offer(at int, score time.Duration) {
	if score < s.score-tieWindow {
		s.best, s.score, s.ties = at, score, 1
		return
	}
	if score > s.score+tieWindow {
		return
	}
	s.ties++
	if s.below(s.ties) == 0 {
		s.best = at
	}
	s.score = min(s.score, score)
}

// below gives a number from 0 to n-1 by an xorshift generator, which costs a
// fraction of rand.Rand's time; hundreds of ties are usual in an idle fleet.
func (s *search) below(n uint64) uint64 {
	s.state ^= s.state << 13
	s.state ^= s.state >> 7
	s.state ^= s.state << 17
	return (s.state >> 32) * n >> 32
}

// zoneCosts remembers the link costs of the few zones that one walk meets.
type zoneCosts struct {
	from  fleet.AvailabilityZone
	bytes int64
	links LinkCost
	zones [8]fleet.AvailabilityZone
	costs [8]time.Duration
	known int
}

func (z *zoneCosts) cost(zone fleet.AvailabilityZone) time.Duration {
	for n := range z.known {
		if z.zones[n] == zone {
			return z.costs[n]
		}
	}
	cost := z.links.Cost(z.from, zone, z.bytes)
	if z.known < len(z.zones) {
		z.zones[z.known], z.costs[z.known] = zone, cost
		z.known++
	}
	return cost
}

func avoided(r *Request, c *endpoint.Candidate) bool {
	if len(r.Avoid) == 0 {
		return false
	}
	_, ok := r.Avoid[c.ID]
	return ok
}
