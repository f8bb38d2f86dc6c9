// Package backoff remembers which peers have failed, and for how long each is passed
// over.
package backoff

import (
	"sync"
	"time"
)

// Peers are peers of which some have failed. Its lock is a leaf.
type Peers struct {
	first, longest time.Duration

	mu   sync.Mutex
	left map[string]leave
}

// leave is a peer that failed.
type leave struct {
	until time.Time
	pause time.Duration // that it is passed over for now
}

// New makes Peers that are passed over for first after a failure. The time doubles
// with each failure in a row, to longest at most: where no peer can be reached, each
// question is time that a request has lost.
func New(first, longest time.Duration) *Peers {
	return &Peers{first: first, longest: longest, left: map[string]leave{}}
}

// Open tells whether a peer may be asked now.
func (p *Peers) Open(peer string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.left[peer].until)
}

// Answered notes that a peer is well.
func (p *Peers) Answered(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.left, peer)
}

// Failed notes that a peer gave no answer.
func (p *Peers) Failed(peer string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := max(p.first, min(2*p.left[peer].pause, p.longest))
	p.left[peer] = leave{until: now.Add(pause), pause: pause}
}
