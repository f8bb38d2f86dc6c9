package control

import (
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// leases are the leader's volatile lease times. They are not replicated: a
// new leader gives everyone a full lease from the start of its leadership,
// which ends later than any lease that an earlier leader gave.
type leases struct {
	mu       sync.Mutex
	leading  bool
	term     uint64
	lastTick time.Time
	lease    time.Duration
	longer   time.Duration // an earlier, longer lease that may still be held
	longerBy time.Time     // until then
	rows     map[fleet.InstanceID]*leaseRow
}

type leaseRow struct {
	owner     fleet.Owner
	renewed   time.Time
	until     time.Time
	applied   uint64
	condemned bool // its end is proposed: no renewal any more
	proposing bool
}

func newLeases() *leases {
	return &leases{rows: make(map[fleet.InstanceID]*leaseRow)}
}

// frozenPart of a lease without a tick means that this process stood still.
const frozenPart = 4

// tick follows leadership and the view, and gives the owners whose lease has
// ended.
//
// Failures guarded: a new leader knows no renewals, and a leader that was
// frozen has missed them; either would expire healthy instances. Both are
// told by a new term, or by a long gap between ticks, and wait a full lease.
func (l *leases) tick(now time.Time, term uint64, lease time.Duration, live []fleet.Owner) []fleet.Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLease(now, lease)
	fresh := !l.leading || l.term != term
	if fresh {
		l.rows = make(map[fleet.InstanceID]*leaseRow)
	}
	frozen := now.Sub(l.lastTick) > lease/frozenPart
	l.leading, l.term, l.lastTick = true, term, now
	l.followView(now, live)
	if frozen {
		l.extendAll(now)
	}
	return l.ended(now)
}

func (l *leases) setLease(now time.Time, lease time.Duration) {
	if lease < l.lease {
		l.longer = l.lease
		l.longerBy = now.Add(l.lease)
	}
	l.lease = lease
}

// full is the longest lease that anyone may hold.
func (l *leases) full(now time.Time) time.Duration {
	if now.Before(l.longerBy) {
		return max(l.lease, l.longer)
	}
	return l.lease
}

func (l *leases) followView(now time.Time, live []fleet.Owner) {
	seen := make(map[fleet.InstanceID]bool, len(live))
	for _, o := range live {
		seen[o.Instance] = true
		row := l.rows[o.Instance]
		if row == nil || row.owner != o {
			l.rows[o.Instance] = &leaseRow{owner: o, renewed: now, until: now.Add(l.full(now))}
		}
	}
	for id := range l.rows {
		if !seen[id] {
			delete(l.rows, id)
		}
	}
}

func (l *leases) extendAll(now time.Time) {
	for _, row := range l.rows {
		row.until = later(row.until, now.Add(l.full(now)))
	}
}

func (l *leases) ended(now time.Time) []fleet.Owner {
	var ended []fleet.Owner
	for _, row := range l.rows {
		if now.Before(row.until) && !row.condemned {
			continue
		}
		if row.proposing {
			continue
		}
		ended = append(ended, row.owner)
	}
	return ended
}

// condemn stops renewals of o, whose end is about to be proposed. It fails
// when o has renewed since.
//
// Failure guarded: a renewal granted while the expiry is on its way to the
// log would leave a process that believes in its lease and a view without it.
func (l *leases) condemn(o fleet.Owner, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[o.Instance]
	if row == nil || row.owner != o || row.proposing {
		return false
	}
	if now.Before(row.until) && !row.condemned {
		return false
	}
	row.condemned, row.proposing = true, true
	return true
}

// proposed tells that the proposal of o's end has returned.
func (l *leases) proposed(o fleet.Owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row := l.rows[o.Instance]; row != nil && row.owner == o {
		row.proposing = false
	}
}

// renew grants o a lease from now. It fails when leadership has changed since
// term, or o is condemned.
func (l *leases) renew(o fleet.Owner, term uint64, applied uint64, now time.Time) (lease time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading || l.term != term {
		return 0, false
	}
	row := l.rows[o.Instance]
	if row == nil || row.owner != o {
		row = &leaseRow{owner: o}
		l.rows[o.Instance] = row
	}
	if row.condemned {
		return 0, false
	}
	row.renewed = now
	row.until = later(row.until, now.Add(l.lease))
	row.applied = max(row.applied, applied)
	return l.lease, true
}

// resign forgets all times: this is not the leader.
func (l *leases) resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = false
	l.rows = make(map[fleet.InstanceID]*leaseRow)
}

// behind lists those of owners that have not reported index as applied.
func (l *leases) behind(index uint64, owners []fleet.Owner) []fleet.Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var behind []fleet.Owner
	for _, o := range owners {
		row := l.rows[o.Instance]
		if row == nil || row.owner != o || row.applied < index {
			behind = append(behind, o)
		}
	}
	return behind
}

// report gives an instance's last renewal and applied index.
func (l *leases) report(id fleet.InstanceID) (renewed time.Time, applied uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[id]
	if row == nil {
		return time.Time{}, 0, false
	}
	return row.renewed, row.applied, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
