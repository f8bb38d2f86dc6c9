package membership

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Source provides the components of a daemon with access to the shared state.
type Source interface {
	// State returns the latest applied state, which is never nil.
	State() *State
	// Current reports whether, at now, this daemon holds its instance lease and
	// has confirmed within the settings lease that State is up to date. If it
	// returns false, the daemon must not accept a request or send bytes to an
	// endpoint.
	Current(now time.Time) bool
	// Self returns this process as it should appear in the view.
	Self() fleet.Instance
	// Changed returns a channel that is closed at the next change of State.
	Changed() <-chan struct{}
}
