package schedule

import (
	"math/rand/v2"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxDrawRounds bounds the pairs that twoChoices draws before it accepts an
// endpoint without a free slot.
const maxDrawRounds = 3

// twoChoices draws two endpoints at random and picks the better one: first by a
// free slot, then by the shorter predicted wait, then by the shorter queue, then
// by the larger fraction of free slots. If neither has a free slot it draws
// again, up to maxDrawRounds pairs.
type twoChoices struct {
	kind  fleet.EndpointRole
	links LinkCost
}

// Choose implements ChoicePolicy.
func (t twoChoices) Choose(r Request, candidates []endpoint.Candidate, random *rand.Rand) (endpoint.Candidate, bool) {
	var best *endpoint.Candidate
	for range maxDrawRounds {
		a := draw(&r, candidates, nil, random)
		if a == nil {
			return endpoint.Candidate{}, false
		}
		if b := draw(&r, candidates, a, random); b != nil && t.better(r, b, a) {
			a = b
		}
		if best == nil || t.better(r, a, best) {
			best = a
		}
		if freeSlots(best) > 0 {
			break
		}
	}
	return *best, true
}

// draw returns a random eligible candidate other than other, or nil if there is
// none.
func draw(r *Request, candidates []endpoint.Candidate, other *endpoint.Candidate, random *rand.Rand) *endpoint.Candidate {
	if len(candidates) == 0 {
		return nil
	}
	at := random.IntN(len(candidates))
	for n := range candidates {
		c := &candidates[(at+n)%len(candidates)]
		if c != other && !avoided(r, c) {
			return c
		}
	}
	return nil
}

func (t twoChoices) better(r Request, a, b *endpoint.Candidate) bool {
	freeA, freeB := freeSlots(a), freeSlots(b)
	if (freeA > 0) != (freeB > 0) {
		return freeA > 0
	}
	waitA := a.SlotWait + a.QueuedWork + t.links.Cost(r.EntryZone, a.Zone, r.KVBytes)
	waitB := b.SlotWait + b.QueuedWork + t.links.Cost(r.EntryZone, b.Zone, r.KVBytes)
	if difference := waitA - waitB; difference > tieThreshold || difference < -tieThreshold {
		return difference < 0
	}
	if a.Queued != b.Queued {
		return a.Queued < b.Queued
	}
	// freeA/slotsA > freeB/slotsB without division.
	return freeA*b.Slots > freeB*a.Slots
}

func freeSlots(c *endpoint.Candidate) int { return c.Slots - c.Granted - c.Queued }
