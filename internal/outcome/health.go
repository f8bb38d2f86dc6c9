package outcome

import (
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// healthTTL is how long after an answer a replica is considered reachable.
const healthTTL = 5 * time.Second

// maxHealthEntries bounds the replicas remembered. When it is reached, all are
// forgotten, which costs a second round trip for each.
const maxHealthEntries = 4096

// replicaHealth remembers which replicas answered recently.
type replicaHealth struct {
	mu         sync.Mutex
	lastAnswer map[fleet.Owner]time.Time
}

func newReplicaHealth() *replicaHealth {
	return &replicaHealth{lastAnswer: make(map[fleet.Owner]time.Time)}
}

func (h *replicaHealth) recordCall(o fleet.Owner, answered bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !answered {
		delete(h.lastAnswer, o)
		return
	}
	if len(h.lastAnswer) >= maxHealthEntries {
		clear(h.lastAnswer)
	}
	h.lastAnswer[o] = now
}

func (h *replicaHealth) answeredRecently(o fleet.Owner, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.lastAnswer[o]
	return ok && now.Sub(at) < healthTTL
}
