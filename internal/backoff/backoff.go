// Package backoff tracks which peers have failed and for how long each is skipped, and calls one
// of several peers accordingly.
package backoff

import (
	"sync"
	"time"
)

// Peers tracks the failures of peers. It is safe for concurrent use, and acquires no
// other lock while it holds its own.
type Peers struct {
	initialPause, maxPause time.Duration

	mu       sync.Mutex
	failures map[string]failure
}

// failure is the state of a peer whose last call failed.
type failure struct {
	retryAt time.Time
	pause   time.Duration // current skip duration
}

// New returns Peers that skips a peer for initialPause after a failure. The pause doubles
// with each consecutive failure up to maxPause: while no peer can be reached, each call
// to one delays a request for nothing.
func New(initialPause, maxPause time.Duration) *Peers {
	return &Peers{initialPause: initialPause, maxPause: maxPause, failures: map[string]failure{}}
}

// Available reports whether a peer may be called now.
func (p *Peers) Available(peer string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.failures[peer].retryAt)
}

// RecordSuccess records that a peer answered, which ends its pause.
func (p *Peers) RecordSuccess(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failures, peer)
}

// RecordFailure records that a peer didn't answer.
func (p *Peers) RecordFailure(peer string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := max(p.initialPause, min(2*p.failures[peer].pause, p.maxPause))
	p.failures[peer] = failure{retryAt: now.Add(pause), pause: pause}
}
