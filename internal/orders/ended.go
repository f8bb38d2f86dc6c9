package orders

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxEnded bounds the endpoints that an issuer remembers.
const maxEnded = 1024

// endedTokens are the tokens of an issuer's own orders that ended done, the
// last of each endpoint. An order that comes right after such a one has nothing
// to wait out: what came before was waited out by it.
type endedTokens struct {
	mu     sync.Mutex
	tokens map[fleet.EndpointID]uint64
}

func (e *endedTokens) note(id fleet.EndpointID, token uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tokens == nil || len(e.tokens) >= maxEnded {
		e.tokens = make(map[fleet.EndpointID]uint64)
	}
	e.tokens[id] = token
}

func (e *endedTokens) of(id fleet.EndpointID) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens[id]
}
