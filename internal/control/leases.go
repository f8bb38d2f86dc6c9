package control

import (
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// leaseTable holds the leader's lease times. They are not replicated: a new
// leader grants every instance a full lease from the start of its leadership,
// which ends later than any lease that an earlier leader granted. It is safe for
// concurrent use.
type leaseTable struct {
	mu               sync.Mutex
	leading          bool
	term             uint64
	lastTick         time.Time
	lease            time.Duration
	previousLease    time.Duration // earlier, longer lease that may still be held
	previousLeaseEnd time.Time     // previousLease is not held after this time
	byInstance       map[fleet.InstanceID]*leaseState
}

type leaseState struct {
	owner           fleet.Owner
	renewedAt       time.Time
	expiresAt       time.Time
	appliedIndex    uint64
	expiring        bool // expiry is being proposed: no more renewals
	proposalPending bool
}

func newLeaseTable() *leaseTable {
	return &leaseTable{byInstance: make(map[fleet.InstanceID]*leaseState)}
}

// suspendedGapDivisor sets the gap between ticks, lease / suspendedGapDivisor, above
// which this process is taken to have been suspended.
const suspendedGapDivisor = 4

// tick updates the table for the current term and view, and returns the owners
// whose lease has ended.
//
// A new leader knows no renewals, and a leader whose process was suspended has
// missed some; either could expire healthy instances. A new term or a long gap
// between ticks shows these cases, and every instance then gets a full lease.
func (l *leaseTable) tick(now time.Time, term uint64, lease time.Duration, live []fleet.Owner) []fleet.Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLease(now, lease)
	newTerm := !l.leading || l.term != term
	if newTerm {
		l.byInstance = make(map[fleet.InstanceID]*leaseState)
	}
	suspended := now.Sub(l.lastTick) > lease/suspendedGapDivisor
	l.leading, l.term, l.lastTick = true, term, now
	l.syncView(now, live)
	if suspended {
		l.extendAll(now)
	}
	return l.expired(now)
}

func (l *leaseTable) setLease(now time.Time, lease time.Duration) {
	if lease < l.lease {
		l.previousLease = l.lease
		l.previousLeaseEnd = now.Add(l.lease)
	}
	l.lease = lease
}

// maxLease returns the longest lease that any instance may hold.
func (l *leaseTable) maxLease(now time.Time) time.Duration {
	if now.Before(l.previousLeaseEnd) {
		return max(l.lease, l.previousLease)
	}
	return l.lease
}

func (l *leaseTable) syncView(now time.Time, live []fleet.Owner) {
	seen := make(map[fleet.InstanceID]bool, len(live))
	for _, o := range live {
		seen[o.Instance] = true
		state := l.byInstance[o.Instance]
		if state == nil || state.owner != o {
			l.byInstance[o.Instance] = &leaseState{owner: o, renewedAt: now, expiresAt: now.Add(l.maxLease(now))}
		}
	}
	for id := range l.byInstance {
		if !seen[id] {
			delete(l.byInstance, id)
		}
	}
}

func (l *leaseTable) extendAll(now time.Time) {
	for _, state := range l.byInstance {
		state.expiresAt = later(state.expiresAt, now.Add(l.maxLease(now)))
	}
}

func (l *leaseTable) expired(now time.Time) []fleet.Owner {
	var ended []fleet.Owner
	for _, state := range l.byInstance {
		if now.Before(state.expiresAt) && !state.expiring {
			continue
		}
		if state.proposalPending {
			continue
		}
		ended = append(ended, state.owner)
	}
	return ended
}

// beginExpiry stops renewals of o, whose expiry is about to be proposed. It
// returns false when o has renewed meanwhile or a proposal is pending.
//
// A renewal granted between the proposal of the expiry and its commit would
// leave a process that holds a lease but is missing from the view.
func (l *leaseTable) beginExpiry(o fleet.Owner, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.byInstance[o.Instance]
	if state == nil || state.owner != o || state.proposalPending {
		return false
	}
	if now.Before(state.expiresAt) && !state.expiring {
		return false
	}
	state.expiring, state.proposalPending = true, true
	return true
}

// expiryProposalDone records that the proposal of o's expiry has returned.
func (l *leaseTable) expiryProposalDone(o fleet.Owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.byInstance[o.Instance]; state != nil && state.owner == o {
		state.proposalPending = false
	}
}

// renew grants o a lease from now. It returns false when the leadership has
// changed since term, or o is being expired.
func (l *leaseTable) renew(o fleet.Owner, term uint64, applied uint64, now time.Time) (lease time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading || l.term != term {
		return 0, false
	}
	state := l.byInstance[o.Instance]
	if state == nil || state.owner != o {
		state = &leaseState{owner: o}
		l.byInstance[o.Instance] = state
	}
	if state.expiring {
		return 0, false
	}
	state.renewedAt = now
	state.expiresAt = later(state.expiresAt, now.Add(l.lease))
	state.appliedIndex = max(state.appliedIndex, applied)
	return l.lease, true
}

// stepDown clears the table, because this member is not the leader.
func (l *leaseTable) stepDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = false
	l.byInstance = make(map[fleet.InstanceID]*leaseState)
}

// notApplied returns those of owners that have not reported index as applied.
func (l *leaseTable) notApplied(index uint64, owners []fleet.Owner) []fleet.Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var pending []fleet.Owner
	for _, o := range owners {
		state := l.byInstance[o.Instance]
		if state == nil || state.owner != o || state.appliedIndex < index {
			pending = append(pending, o)
		}
	}
	return pending
}

// status returns an instance's last renewal and applied index.
func (l *leaseTable) status(id fleet.InstanceID) (renewed time.Time, applied uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.byInstance[id]
	if state == nil {
		return time.Time{}, 0, false
	}
	return state.renewedAt, state.appliedIndex, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
