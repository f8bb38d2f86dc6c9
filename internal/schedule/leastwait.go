package schedule

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxScan and maxCacheProbes bound the candidates and the cache lookups of one
// choice, so that its cost doesn't grow with the number of candidates. The best
// of a random sample of this size is hardly worse than the best of all.
const (
	maxScan        = 256
	maxCacheProbes = 64
)

// sampleSize is how many candidates the sampled-wait policy considers. An
// entry's digests are some hundred milliseconds old: if every entry picked the
// best of all candidates, they would all send their requests to the same
// endpoint until the next digest.
const sampleSize = 3

// tieThreshold is the difference in predicted wait up to which two endpoints
// are treated as equal, so that entries with the same view don't all pick one.
const tieThreshold = 500 * time.Microsecond

// leastWait picks the endpoint with the least predicted completion time: the
// wait for a slot, the queued work, the transfer over the link, and for prefill
// the prefill time less what the prefix cache saves.
type leastWait struct {
	kind    fleet.EndpointRole
	maxScan int // maximum number of candidates considered
	prefill *PrefillPredictor
	links   LinkCost
}

func newLeastWait(kind fleet.EndpointRole, maxScan int, o ChoiceOptions) leastWait {
	return leastWait{kind: kind, maxScan: maxScan, prefill: o.Prefill, links: o.Links}
}

// Choose implements ChoicePolicy. It scans the candidates from a random position and
// probes a cache only where a full cache hit could beat the best so far.
func (l leastWait) Choose(r Request, candidates []endpoint.Candidate, random *rand.Rand) (endpoint.Candidate, bool) {
	if len(candidates) == 0 {
		return endpoint.Candidate{}, false
	}
	fullPrefill := l.prefillTime(r.PromptTokens)
	s := search{best: -1, bestScore: math.MaxInt64 - tieThreshold, random: random.Uint64() | 1}
	links := zoneCosts{from: r.EntryZone, bytes: r.KVBytes, links: l.links}
	start := random.IntN(len(candidates))
	for n := range len(candidates) {
		if s.considered >= l.maxScan {
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
		s.considered++
		wait := c.SlotWait + c.QueuedWork
		if wait > s.bestScore+tieThreshold {
			continue
		}
		wait += links.cost(c.Zone)
		if wait > s.bestScore+tieThreshold {
			continue
		}
		s.consider(at, wait+fullPrefill-l.saving(&r, c, fullPrefill, &s))
	}
	if s.best < 0 {
		return endpoint.Candidate{}, false
	}
	return candidates[s.best], true
}

func (l leastWait) prefillTime(tokens int) time.Duration {
	if l.kind != fleet.RolePrefill {
		return 0
	}
	return l.prefill.Predict(tokens)
}

// saving returns the prefill time that the candidate's prefix cache would save.
func (l leastWait) saving(r *Request, c *endpoint.Candidate, fullPrefill time.Duration, s *search) time.Duration {
	if fullPrefill == 0 || len(r.Prefixes) == 0 || len(c.CachedPrefixes) == 0 || s.probes >= maxCacheProbes {
		return 0
	}
	s.probes++
	blocks := cachedBlocks(r.Prefixes, c.CachedPrefixes, s.blocks)
	if blocks == 0 {
		return 0
	}
	s.blocks = blocks
	return fullPrefill - l.prefill.Predict(max(0, r.PromptTokens-blocks*PrefixBlockTokens))
}

// search is the state of one scan over the candidates.
type search struct {
	best       int // index of the best candidate, -1 for none yet
	bestScore  time.Duration
	ties       uint64 // candidates that tie with the best so far
	considered int    // eligible candidates considered
	probes     int    // cache lookups
	blocks     int    // cached blocks at the last candidate that had any
	random     uint64 // state of the generator that breaks ties
}

// consider makes a candidate the best one if its score is lower. Among tied
// candidates each is chosen with the same probability.
func (s *search) consider(at int, score time.Duration) {
	if score < s.bestScore-tieThreshold {
		s.best, s.bestScore, s.ties = at, score, 1
		return
	}
	if score > s.bestScore+tieThreshold {
		return
	}
	s.ties++
	if s.randomBelow(s.ties) == 0 {
		s.best = at
	}
	s.bestScore = min(s.bestScore, score)
}

// randomBelow returns a pseudo-random number in [0, n) from an xorshift
// generator, which is much cheaper than rand.Rand; hundreds of ties are usual in
// an idle fleet.
func (s *search) randomBelow(n uint64) uint64 {
	s.random ^= s.random << 13
	s.random ^= s.random >> 7
	s.random ^= s.random << 17
	return (s.random >> 32) * n >> 32
}

// zoneCosts caches the link costs of the few zones seen in one scan.
type zoneCosts struct {
	from  fleet.AvailabilityZone
	bytes int64
	links LinkCost
	zones [8]fleet.AvailabilityZone
	costs [8]time.Duration
	count int
}

func (z *zoneCosts) cost(zone fleet.AvailabilityZone) time.Duration {
	for n := range z.count {
		if z.zones[n] == zone {
			return z.costs[n]
		}
	}
	cost := z.links.Cost(z.from, zone, z.bytes)
	if z.count < len(z.zones) {
		z.zones[z.count], z.costs[z.count] = zone, cost
		z.count++
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
