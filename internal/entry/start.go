package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// startupPollInterval is the interval between checks for the settings of a starting daemon,
// which arrive within milliseconds of its lease.
const startupPollInterval = 5 * time.Millisecond

// startupWait delays requests until a daemon that has just started has its settings. Other
// entries give its address to callers as soon as it has a lease, shortly before it has
// received any team.
type startupWait struct {
	source        membership.Source
	timeout       time.Duration
	settingsKnown atomic.Bool
}

// await returns once the daemon's settings are or have been current, or after the timeout.
func (s *startupWait) await(ctx context.Context) {
	if s.settingsKnown.Load() {
		return
	}
	for began := time.Now(); time.Since(began) < s.timeout; {
		if s.source.Current(time.Now()) {
			s.settingsKnown.Store(true)
			return
		}
		if !sleep.For(ctx, startupPollInterval) {
			return
		}
	}
}
