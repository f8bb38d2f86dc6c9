package testkit

import (
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// Source is a membership.Source whose state is set by a test. It is current unless the test
// calls SetCurrent(false). It is safe for concurrent use.
type Source struct {
	self fleet.Instance

	mu         sync.Mutex
	state      *membership.State
	changed    chan struct{}
	notCurrent bool
}

// NewSource returns a source for process self with an initial state.
func NewSource(self fleet.Instance, state *membership.State) *Source {
	return &Source{self: self, state: state, changed: make(chan struct{})}
}

// State returns the latest state.
func (s *Source) State() *membership.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Current reports whether the process holds its leases, as set by SetCurrent.
func (s *Source) Current(time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.notCurrent
}

// Self returns the process that was passed to NewSource.
func (s *Source) Self() fleet.Instance { return s.self }

// Changed returns a channel that the next Set closes.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Set replaces the state and closes the channel that Changed returned.
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
	s.notCurrent = !current
}
