package endpointlimit

import (
	"sync"
	"time"
)

// keptUnlisted is how long the limit of an endpoint is known that is no longer listed: one
// that was cut off comes back with what it said.
const keptUnlisted = time.Minute

// Known is what one process knows of endpoints' limits. Its lock is a leaf.
type Known struct {
	mu    sync.Mutex
	heard map[Endpoint]*known
}

// known is what is known of one endpoint.
type known struct {
	Heard
	listed time.Time // when it was last listed
}

// NewKnown makes a Known that knows of no limit.
func NewKnown() *Known { return &Known{heard: map[Endpoint]*known{}} }

// Hear takes in the word of an endpoint's answer to a request that was sent at sent. It
// gives what is known now, and whether that changed.
func (k *Known) Hear(now, sent time.Time, e Endpoint, w Word) (heard Heard, changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.heard[e]
	if h == nil {
		if w.Kind != KindNamed {
			return Heard{}, false
		}
		h = &known{listed: now}
		k.heard[e] = h
	}
	changed = h.hear(now, sent, w)
	return h.Heard, changed
}

// Limit is what is known of an endpoint's limit.
func (k *Known) Limit(e Endpoint) Heard {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.heard[e]; h != nil {
		return h.Heard
	}
	return Heard{}
}

// merge takes in what another process knows of an endpoint that is known here.
func (k *Known) merge(e Endpoint, other Heard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.heard[e]; h != nil {
		h.newer(other)
	}
}

// Keep forgets endpoints that have not been listed for a while.
func (k *Known) Keep(now time.Time, listed func(Endpoint) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for e, h := range k.heard {
		switch {
		case listed(e):
			h.listed = now
		case now.Sub(h.listed) > keptUnlisted:
			delete(k.heard, e)
		}
	}
}
