package membership

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Source is how the parts of a daemon see the shared state.
type Source interface {
	// State gives the newest applied state; never nil.
	State() *State
	// Current tells whether, at now, this daemon holds its instance lease and
	// has confirmed within the settings lease that State is up to date. When
	// false no request may be taken and no bytes may leave for an endpoint.
	Current(now time.Time) bool
	// Self is this process as the view should hold it.
	Self() fleet.Instance
	// Changed gives a channel that is closed when State next changes.
	Changed() <-chan struct{}
}
