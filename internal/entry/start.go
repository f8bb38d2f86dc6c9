package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// startLook is the pause between two looks whether a daemon that starts has its settings,
// which it gets within milliseconds of its lease.
const startLook = 5 * time.Millisecond

// start holds requests of a daemon that has just started until it has its settings. Other
// entries name it to callers as soon as it has a lease, a moment before it knows any team.
type start struct {
	source membership.Source
	within time.Duration
	over   atomic.Bool
}

// await returns when the daemon is or was current, or after the time that it may take.
func (s *start) await(ctx context.Context) {
	if s.over.Load() {
		return
	}
	for began := time.Now(); time.Since(began) < s.within; {
		if s.source.Current(time.Now()) {
			s.over.Store(true)
			return
		}
		if !sleep.For(ctx, startLook) {
			return
		}
	}
}
