package quarantine

import "time"

// expireBatch bounds the work of one call.
const expireBatch = 64

// Expire forgets up to limit fingerprints that have nothing left to tell.
func (r *Register) Expire(now time.Time, limit int) {
	for range limit {
		if len(r.order) == 0 || now.Sub(r.order[0].used) < r.idleLife() {
			return
		}
		r.requeue(func(t *track) bool { return now.Sub(t.used) >= r.life(t) })
	}
}

// idleLife is the shortest time after which a fingerprint may be forgotten.
func (r *Register) idleLife() time.Duration {
	return min(r.limits.ProvenLife, r.limits.RunLife, r.limits.SuspectLife)
}

func (r *Register) life(t *track) time.Duration {
	if !t.crashed.IsZero() || !t.quarantined.IsZero() {
		return r.limits.SuspectLife
	}
	return max(r.limits.ProvenLife, r.limits.RunLife)
}

// evict makes room: the first of the oldest that doesn't run and didn't crash.
// What it loses is the memory of a completed run, which costs a wait at most.
func (r *Register) evict() bool {
	for range min(len(r.order), expireBatch) {
		gone := r.requeue(func(t *track) bool { return len(t.runs) == 0 && t.crashed.IsZero() && t.quarantined.IsZero() })
		if gone {
			return true
		}
	}
	return false
}

// requeue takes the oldest mark: the fingerprint goes when drop says so, else
// its mark goes to the end.
func (r *Register) requeue(drop func(*track) bool) bool {
	mark := r.order[0]
	r.order = r.order[1:]
	t := r.tracked[mark.fingerprint]
	if drop(t) {
		delete(r.tracked, mark.fingerprint)
		return true
	}
	r.order = append(r.order, orderMark{fingerprint: mark.fingerprint, used: t.used})
	return false
}
