package retrybudget

import (
	"sync"
	"time"
)

// usedPart is the part of the bound that is used. Callers count a request when they send
// it and endpoints an arrival when they read it, both a moment apart from what an entry
// notes.
const usedPart = 0.8

// Budget is one entry's part of the bound. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu       sync.Mutex // guards the fields below
	share    share
	services map[string]*usage
}

// New makes the budget of a process that begins at now.
func New(now time.Time, limits Limits) *Budget {
	return &Budget{
		limits: limits, services: map[string]*usage{},
		share: share{window: limits.Window, began: now},
	}
}

// Entries tells how many entries may send, as a control instance in touch has just said.
func (b *Budget) Entries(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.told(now, n)
	b.forget(now)
}

// forget drops the counts of services that were not used for as long as they matter, since
// services come and go with the configurations. It is called with b.mu held.
func (b *Budget) forget(now time.Time) {
	oldest := b.piece(now) - kept
	for name, u := range b.services {
		if u.newest < oldest && u.reserved == 0 {
			delete(b.services, name)
		}
	}
}

// piece is the number of the piece of the window that holds now.
func (b *Budget) piece(now time.Time) int64 {
	return int64(now.Sub(b.share.began) / (b.limits.Window / pieces))
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage(now, service).requested()
}

// Reserve permits one more arrival; nil when none is left.
func (b *Budget) Reserve(now time.Time, service string) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(now, service)
	if b.left(now, u) < 1 {
		return nil
	}
	u.reserved++
	return &Reservation{budget: b, service: service}
}

// Left is how many more arrivals fit now.
func (b *Budget) Left(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now, b.usage(now, service))
}

// Share is this entry's part of the slack now, 0 to 1.
func (b *Budget) Share(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.part(now)
}

// left is called with b.mu held.
func (b *Budget) left(now time.Time, u *usage) float64 {
	return u.left(usedPart*b.limits.Ratio, usedPart*b.limits.Slack*b.share.part(now))
}

// usage gives a service's counts as of now. It is called with b.mu held.
func (b *Budget) usage(now time.Time, service string) *usage {
	piece := b.piece(now)
	u := b.services[service]
	if u == nil {
		u = &usage{newest: piece}
		b.services[service] = u
	}
	u.advance(piece)
	return u
}
