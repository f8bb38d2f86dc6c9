package daemon

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// newIncarnation returns the number of this process start: the wall clock in
// nanoseconds, which increases from start to start. The control group rejects a number
// that is not above the previous one, so a clock that was set back delays a daemon's
// return but never lets it be mistaken for its previous incarnation.
func newIncarnation(now time.Time) fleet.Incarnation {
	return fleet.Incarnation(now.UnixNano())
}
