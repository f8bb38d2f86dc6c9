package testkit

import (
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// Source is a membership.Source whose state a test sets. It is Current until
// the test says otherwise.
type Source struct {
	self fleet.Instance

	mu      sync.Mutex
	state   *membership.State
	changed chan struct{}
	lapsed  bool
}

// NewSource gives the source of process self, which begins with state.
func NewSource(self fleet.Instance, state *membership.State) *Source {
	return &Source{self: self, state: state, changed: make(chan struct{})}
}

// State gives what was set last.
func (s *Source) State() *membership.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Current tells what SetCurrent set last.
func (s *Source) Current(time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lapsed
}

// Self is the process that NewSource was given.
func (s *Source) Self() fleet.Instance { return s.self }

// Changed gives a channel that the next Set closes.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Set replaces the state.
func (s *Source) Set(state *membership.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetCurrent sets whether the process holds its leases.
func (s *Source) SetCurrent(current bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapsed = !current
}
