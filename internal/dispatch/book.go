package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Book keeps what one entry knows of the endpoints it sends to.
type Book struct {
	zone   string
	policy Policy

	mu     sync.Mutex
	random *rand.Rand
	states map[Incarnation]*state
	speeds map[string]*speed  // of reading prompts, by service
	paces  map[string]float64 // of answers, ns a token of their estimates, by service
	// blockedUntil is when none of the endpoints is blocked any more.
	blockedUntil time.Time
	rests        map[string]heardRest // the newest of each endpoint, by ID
}

// NewBook makes an empty book for an entry in a zone.
func NewBook(zone string, seed uint64, policy Policy) *Book {
	return &Book{zone: zone, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), states: map[Incarnation]*state{}, speeds: map[string]*speed{}, paces: map[string]float64{}, rests: map[string]heardRest{}}
}

func (b *Book) state(id Incarnation) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// known gives what is known of an endpoint; nil for nothing.
func (b *Book) known(id Incarnation) *state {
	if r := b.rests[id.ID]; r.isOf(id) {
		b.keepRest(b.state(id), r.until)
	}
	return b.states[id]
}

// Begin counts an exchange in; End must follow.
func (b *Book) Begin(now time.Time, e *Endpoint, w Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e.Incarnation())
	s.own++
	s.prompt += w.Prompt
	s.memory += w.Memory
	s.usedAt = now
	if s.hard > 0 {
		s.trial = true
	}
}

// End counts an exchange out. w is what Begin counted.
func (b *Book) End(now time.Time, e *Endpoint, w Work, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e.Incarnation())
	s.own--
	s.prompt -= w.Prompt
	s.memory -= w.Memory
	s.usedAt = now
	s.note(now, o, b.policy)
}

// Note takes in how a call ended that was not counted in.
func (b *Book) Note(now time.Time, e *Endpoint, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(e.Incarnation()).note(now, o, b.policy)
}

func (s *state) note(now time.Time, o Outcome, policy Policy) {
	switch o {
	case OutcomeServed:
		s.hard, s.misfits, s.trial, s.until = 0, 0, false, time.Time{}
		s.faults -= s.faults * faultShare
	case OutcomeFailed:
		s.hard, s.trial = 0, false
		s.faults += (1 - s.faults) * faultShare
	case OutcomeFull:
		s.hard, s.trial = 0, false
		s.refusedAt = now
	case OutcomeMisfit:
		s.misfits++
		s.trial = false
		s.passOver(now, misfitPass)
	case OutcomeUnreachable:
		s.faults += (1 - s.faults) * faultShare
		if policy.Has(PassOver) {
			s.failHard(now)
		}
	case OutcomeLost:
		s.faults += (1 - s.faults) * 2 * faultShare
		s.trial = false
	case OutcomeGivenUp:
		s.trial = false
	}
}

// failHard passes over an endpoint that can't be reached, longer each time.
func (s *state) failHard(now time.Time) {
	s.trial = false
	s.passOver(now, min(firstPass<<min(s.hard, 8), longestPass))
	s.hard++
}

func (s *state) passOver(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(s.until) {
		s.until = until
	}
}

// Told takes in the load that an endpoint put on an answer.
func (b *Book) Told(now time.Time, e *Endpoint, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e.Incarnation())
	s.others = max(0, float64(l.Running+l.Waiting-s.own))
	s.toldAt = now
}

// Full notes that an endpoint rejected an exchange for want of room.
func (b *Book) Full(now time.Time, e *Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(e.Incarnation()).fullAt = now
}

// Refuses tells whether an endpoint has turned an exchange away lately.
func (b *Book) Refuses(now time.Time, e *Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[e.Incarnation()]
	return s != nil && !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalLife
}

// Zone is the entry's own.
func (b *Book) Zone() string { return b.zone }

// PassedOver lists the IDs of the endpoints that are passed over or blocked now.
func (b *Book) PassedOver(now time.Time, endpoints []*Endpoint) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for _, e := range endpoints {
		if s := b.known(e.Incarnation()); s != nil && (!s.open(now) || s.blocked(now)) {
			list = append(list, e.ID)
		}
	}
	return list
}

// Sweep forgets endpoints that were not used for a while.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.own == 0 && now.Sub(s.usedAt) > idleState && !s.blocked(now) && !s.leaves(now) && !now.Before(s.restUntil) {
			delete(b.states, id)
		}
	}
	for id, r := range b.rests {
		if !now.Before(r.until) {
			delete(b.rests, id)
		}
	}
}
