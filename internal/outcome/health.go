package outcome

import (
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// healthLife is how long an answer vouches for a replica.
const healthLife = 5 * time.Second

// mostHealth bounds the replicas remembered; past it all are forgotten, which
// costs a second round trip for each.
const mostHealth = 4096

// health remembers which replicas answered lately.
type health struct {
	mu       sync.Mutex
	answered map[fleet.Owner]time.Time
}

func newHealth() *health { return &health{answered: make(map[fleet.Owner]time.Time)} }

func (h *health) note(o fleet.Owner, answered bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !answered {
		delete(h.answered, o)
		return
	}
	if len(h.answered) >= mostHealth {
		clear(h.answered)
	}
	h.answered[o] = now
}

func (h *health) good(o fleet.Owner, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.answered[o]
	return ok && now.Sub(at) < healthLife
}
