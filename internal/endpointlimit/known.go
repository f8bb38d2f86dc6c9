package endpointlimit

import (
	"sync"
	"time"
)

// Known is what one process knows of endpoints' limits. Its lock is a leaf.
type Known struct {
	mu    sync.Mutex
	heard map[Endpoint]*Heard
}

// NewKnown makes a Known that knows of no limit.
func NewKnown() *Known { return &Known{heard: map[Endpoint]*Heard{}} }

// Hear takes in the word of an endpoint's answer to a request that was sent at sent. It
// gives what is known now, and whether that changed.
func (k *Known) Hear(now, sent time.Time, e Endpoint, w Word) (known Heard, changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.heard[e]
	if h == nil {
		if w.Kind != KindNamed {
			return Heard{}, false
		}
		h = &Heard{}
		k.heard[e] = h
	}
	changed = h.hear(now, sent, w)
	return *h, changed
}

// Limit is what is known of an endpoint's limit.
func (k *Known) Limit(e Endpoint) Heard {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.heard[e]; h != nil {
		return *h
	}
	return Heard{}
}

// Keep forgets endpoints that are not listed.
func (k *Known) Keep(listed func(Endpoint) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for e := range k.heard {
		if !listed(e) {
			delete(k.heard, e)
		}
	}
}
