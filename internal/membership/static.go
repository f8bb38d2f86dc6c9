package membership

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Static is a Source that never changes, for parts that run without an Agent.
type Static struct {
	FixedState *State
	Instance   fleet.Instance
	NotCurrent bool // Current returns false
}

// State implements Source.
func (s *Static) State() *State { return s.FixedState }

// Current implements Source.
func (s *Static) Current(time.Time) bool { return !s.NotCurrent }

// Self implements Source.
func (s *Static) Self() fleet.Instance { return s.Instance }

// Changed implements Source with a channel that is never closed.
func (s *Static) Changed() <-chan struct{} { return nil }
