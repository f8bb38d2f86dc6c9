package endpointlimit

import (
	"sync"
	"time"
)

// unlistedRetention is how long the limit of an endpoint that is no longer listed is kept:
// one that was cut off comes back with the same limit.
const unlistedRetention = time.Minute

// LimitView is one process's view of endpoints' limits. It is safe for concurrent use; its
// lock is a leaf.
type LimitView struct {
	mu     sync.Mutex
	limits map[Endpoint]*trackedLimit
}

type trackedLimit struct {
	KnownLimit
	lastListed time.Time // when the endpoint was last listed
}

// NewLimitView returns a LimitView without limits.
func NewLimitView() *LimitView { return &LimitView{limits: map[Endpoint]*trackedLimit{}} }

// RecordSignal records the signal of an endpoint's answer to a request that was sent at sent. It
// returns the latest known limit, and whether that changed.
func (v *LimitView) RecordSignal(now, sent time.Time, e Endpoint, signal Signal) (limit KnownLimit, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	tracked := v.limits[e]
	if tracked == nil {
		if signal.Kind != KindLimit {
			return KnownLimit{}, false
		}
		tracked = &trackedLimit{lastListed: now}
		v.limits[e] = tracked
	}
	changed = tracked.update(now, sent, signal)
	return tracked.KnownLimit, changed
}

// Limit returns the latest known limit of an endpoint.
func (v *LimitView) Limit(e Endpoint) KnownLimit {
	v.mu.Lock()
	defer v.mu.Unlock()
	if tracked := v.limits[e]; tracked != nil {
		return tracked.KnownLimit
	}
	return KnownLimit{}
}

// merge adopts what another process knows if that is newer and the endpoint is tracked here.
func (v *LimitView) merge(e Endpoint, other KnownLimit) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if tracked := v.limits[e]; tracked != nil {
		tracked.merge(other)
	}
}

// RemoveUnlisted removes the limits of endpoints that have not been listed for unlistedRetention.
func (v *LimitView) RemoveUnlisted(now time.Time, isListed func(Endpoint) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for e, tracked := range v.limits {
		switch {
		case isListed(e):
			tracked.lastListed = now
		case now.Sub(tracked.lastListed) > unlistedRetention:
			delete(v.limits, e)
		}
	}
}
