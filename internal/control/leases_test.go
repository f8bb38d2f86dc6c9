package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var (
	baseTime   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a1         = fleet.Owner{Instance: "a", Incarnation: 1}
	a2         = fleet.Owner{Instance: "a", Incarnation: 2}
	liveOwners = []fleet.Owner{a1}
)

const tickInterval = 100 * time.Millisecond

// firstExpiry runs ticks and returns the time at which a1's lease has first ended;
// -1: never.
func firstExpiry(l *leaseTable, from, to time.Duration, lease time.Duration) time.Duration {
	for d := from; d <= to; d += tickInterval {
		if len(l.tick(baseTime.Add(d), 1, lease, liveOwners)) > 0 {
			return d
		}
	}
	return -1
}

// renewalGranted reports whether a1's renewal is granted.
func renewalGranted(l *leaseTable, term uint64, at time.Time) bool {
	_, ok := l.renew(a1, term, 0, at)
	return ok
}

func TestLeaseEndsAfterItsLastRenewal(t *testing.T) {
	l := newLeaseTable()
	assert.Equal(t, firstExpiry(l, 0, time.Second, testInstanceLease), time.Duration(-1))
	assert.Assert(t, renewalGranted(l, 1, baseTime.Add(time.Second)))
	assert.Equal(t, firstExpiry(l, time.Second, time.Minute, testInstanceLease), time.Second+testInstanceLease)
}

// The leader's process is suspended for longer than a lease and continues as
// leader. It has missed all renewals of that time, so expiry by the stored lease
// times would remove every healthy instance.
func TestFrozenLeaderExpiresNoInstanceAtOnce(t *testing.T) {
	l := newLeaseTable()
	firstExpiry(l, 0, time.Second, testInstanceLease)
	resumed := 10 * time.Second
	assert.Equal(t, firstExpiry(l, resumed, time.Minute, testInstanceLease), resumed+testInstanceLease)
}

// A renewal arrives while the expiry is being proposed. If it were granted, the
// instance would hold a lease but be missing from the view.
func TestRenewalDuringExpiryIsRefused(t *testing.T) {
	l := newLeaseTable()
	due := firstExpiry(l, 0, time.Minute, testInstanceLease)
	now := baseTime.Add(due)
	assert.Assert(t, l.beginExpiry(a1, now))
	assert.Assert(t, !l.beginExpiry(a1, now))
	assert.Assert(t, !renewalGranted(l, 1, now))
	l.expiryProposalDone(a1) // failed: renewals stay refused and the expiry is proposed again
	assert.Assert(t, !renewalGranted(l, 1, now))
	assert.Assert(t, l.beginExpiry(a1, now))
}

// A renewal between the tick that found a lease ended and the start of the expiry
// must be granted and stop the expiry.
func TestRenewalBeforeExpiryWins(t *testing.T) {
	l := newLeaseTable()
	now := baseTime.Add(firstExpiry(l, 0, time.Minute, testInstanceLease))
	assert.Assert(t, renewalGranted(l, 1, now))
	assert.Assert(t, !l.beginExpiry(a1, now))
}

// The operators shorten the instance lease. Instances still hold the longer lease
// that they were granted, so none may be expired before that has ended.
func TestShortenedLeaseWaitsForPreviousLease(t *testing.T) {
	l := newLeaseTable()
	firstExpiry(l, 0, time.Second, 10*time.Second)
	l.renew(a1, 1, 0, baseTime.Add(time.Second))
	assert.Equal(t, firstExpiry(l, time.Second, time.Minute, testInstanceLease), 11*time.Second)
}

// Just after the lease was shortened, a member loses the leadership and is soon
// elected again. It doesn't know what another leader granted meanwhile, so every
// instance must get the longest lease that may be held.
func TestNewTermStartsAllLeasesAnew(t *testing.T) {
	l := newLeaseTable()
	firstExpiry(l, 0, time.Second, 10*time.Second)
	shortened := time.Second + tickInterval
	l.tick(baseTime.Add(shortened), 1, testInstanceLease, liveOwners)
	l.renew(a1, 1, 0, baseTime.Add(shortened))
	elected := shortened + tickInterval
	var due time.Duration
	for due = elected; len(l.tick(baseTime.Add(due), 2, testInstanceLease, liveOwners)) == 0; due += tickInterval {
	}
	assert.Equal(t, due, elected+10*time.Second)
}

func TestRenewNeedsTheSameTerm(t *testing.T) {
	l := newLeaseTable()
	l.tick(baseTime, 2, testInstanceLease, liveOwners)
	assert.Assert(t, !renewalGranted(l, 1, baseTime))
	l.stepDown()
	assert.Assert(t, !renewalGranted(l, 2, baseTime))
}

func TestNotAppliedIgnoresOtherIncarnations(t *testing.T) {
	l := newLeaseTable()
	l.tick(baseTime, 1, testInstanceLease, liveOwners)
	l.renew(a1, 1, 7, baseTime)
	assert.Equal(t, len(l.notApplied(7, liveOwners)), 0)
	assert.Equal(t, len(l.notApplied(8, liveOwners)), 1)
	assert.Equal(t, len(l.notApplied(7, []fleet.Owner{a2})), 1)
}
