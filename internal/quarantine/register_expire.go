package quarantine

import "time"

// expireBatch limits the fingerprints that one call checks.
const expireBatch = 64

// Expire checks up to limit of the oldest fingerprints and drops those that have expired.
func (r *Register) Expire(now time.Time, limit int) {
	for range limit {
		if len(r.order) == 0 || now.Sub(r.order[0].used) < r.minTTL() {
			return
		}
		r.requeue(func(state *fingerprintState) bool { return now.Sub(state.lastUsed) >= r.ttl(state) })
	}
}

// minTTL returns the shortest time after which a fingerprint may expire.
func (r *Register) minTTL() time.Duration {
	return min(r.limits.ProvenTTL, r.limits.RunTTL, r.limits.SuspectTTL)
}

// ttl returns how long a fingerprint is kept after its last use.
func (r *Register) ttl(state *fingerprintState) time.Duration {
	if !state.lastCrashed.IsZero() || !state.quarantinedAt.IsZero() {
		return r.limits.SuspectTTL
	}
	return max(r.limits.ProvenTTL, r.limits.RunTTL)
}

// evict drops the first of the oldest fingerprints that has no active run and no crash.
// Forgetting a completed run costs a wait at most.
func (r *Register) evict() bool {
	for range min(len(r.order), expireBatch) {
		dropped := r.requeue(func(state *fingerprintState) bool {
			return len(state.runs) == 0 && state.lastCrashed.IsZero() && state.quarantinedAt.IsZero()
		})
		if dropped {
			return true
		}
	}
	return false
}

// requeue takes the oldest mark. It drops the fingerprint if drop returns true; otherwise the
// mark is moved to the end. It reports whether the fingerprint was dropped.
func (r *Register) requeue(drop func(*fingerprintState) bool) bool {
	mark := r.order[0]
	r.order = r.order[1:]
	state := r.tracked[mark.fingerprint]
	if drop(state) {
		delete(r.tracked, mark.fingerprint)
		return true
	}
	r.order = append(r.order, orderMark{fingerprint: mark.fingerprint, used: state.lastUsed})
	return false
}
