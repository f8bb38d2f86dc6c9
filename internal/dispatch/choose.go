package dispatch

import "time"

// The weights of a choice. A cost of 1 is one full endpoint.
const (
	// otherZone is the cost of leaving the entry's zone: bytes between zones
	// are paid for, yet a server a sixth fuller makes up for them.
	otherZone = 0.15
	// faultCost is the cost of an endpoint that fails all its exchanges; one
	// that fails a third of them is as unattractive as a full one.
	faultCost = 3.0
	// fullCost puts an endpoint that had no room a moment ago behind all that
	// may have some.
	fullCost = 10.0
	// spread is the random part of a cost. Entries that hold the same picture
	// would else all send to the same endpoint at once.
	spread = 0.08
)

// Choice is an endpoint with the figures that decided for it.
type Choice struct {
	Endpoint *Endpoint
	Cost     float64
	Before   float64 // its fill alone, by the Measure or by the waits seen there
	Own      int     // exchanges of this entry there
	Others   float64 // estimate of others' exchanges there
	AgeMs    int64   // of that estimate; -1 when nothing was told
	Among    int     // endpoints that could have been chosen
}

// Measure gives the fill of an endpoint, 1 for full, from what is known of it.
type Measure func(e *Endpoint, own int, prompt, memory int, others float64) float64

// ByPlaces measures by the exchanges in flight against the places.
func ByPlaces(e *Endpoint, own, _, _ int, others float64) float64 {
	return (float64(own) + others) / float64(max(1, e.Slots))
}

// Choose picks the endpoint of least cost that is not passed over. Where all
// are passed over, the one that will be open first is chosen: to wait for it
// would answer nobody. ok is false when there are no candidates.
func (b *Book) Choose(now time.Time, candidates []*Endpoint, fill Measure) (choice Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	base := b.leastFaults(candidates)
	among := 0
	var best, last Choice
	var lastOpens time.Time
	for _, e := range candidates {
		s := b.state(e.Incarnation())
		c := b.weigh(now, e, s, fill, base)
		if s.open(now) {
			among++
			best = cheaper(best, c)
			continue
		}
		if last.Endpoint == nil || s.until.Before(lastOpens) {
			last, lastOpens = c, s.until
		}
	}
	if best.Endpoint == nil {
		best = last
	}
	best.Among = among
	return best, best.Endpoint != nil
}

// cheaper gives the choice of lesser cost; a may be none.
func cheaper(a, b Choice) Choice {
	if a.Endpoint == nil || b.Cost < a.Cost {
		return b
	}
	return a
}

// leastFaults is the share of failures that a service's endpoints have in
// common: their requests' own, which no choice avoids.
func (b *Book) leastFaults(candidates []*Endpoint) float64 {
	least := 1.0
	for _, e := range candidates {
		least = min(least, b.state(e.Incarnation()).faults)
	}
	return least
}

func (b *Book) weigh(now time.Time, e *Endpoint, s *state, fill Measure, base float64) Choice {
	others := s.othersNow(now)
	before := fill(e, s.own, s.prompt, s.memory, others)
	if b.policy.Has(SeenWaits) {
		before = max(before, s.waitNow(now))
	}
	cost := before
	cost += faultCost * (s.faults - base)
	if now.Sub(s.fullAt) < fullLife {
		cost += fullCost
	}
	if e.Zone != b.zone {
		cost += otherZone
	}
	cost += spread * b.random.Float64()
	c := Choice{Endpoint: e, Cost: cost, Before: before, Own: s.own, Others: others, AgeMs: -1}
	if !s.toldAt.IsZero() {
		c.AgeMs = now.Sub(s.toldAt).Milliseconds()
	}
	return c
}
