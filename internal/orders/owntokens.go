package orders

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxOwnTokens bounds the endpoints whose last own token an issuer remembers.
const maxOwnTokens = 1024

// ownTokens holds, per endpoint, the token of this issuer's last completed
// order. An order that directly follows it need not wait for earlier orders: the
// completed one has already waited for them. Safe for concurrent use.
type ownTokens struct {
	mu     sync.Mutex
	tokens map[fleet.EndpointID]uint64
}

// set stores a token. When the map is full it is cleared; the next orders then
// only wait longer.
func (e *ownTokens) set(id fleet.EndpointID, token uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tokens == nil || len(e.tokens) >= maxOwnTokens {
		e.tokens = make(map[fleet.EndpointID]uint64)
	}
	e.tokens[id] = token
}

func (e *ownTokens) get(id fleet.EndpointID) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens[id]
}
