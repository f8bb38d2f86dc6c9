package daemon

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// newIncarnation numbers this process start: the wall clock in nanoseconds,
// which rises from start to start. The control group refuses one that isn't
// above the last, so a clock that was set back delays a daemon's return but
// never lets it pass for its earlier self.
func newIncarnation(now time.Time) fleet.Incarnation {
	return fleet.Incarnation(now.UnixNano())
}
