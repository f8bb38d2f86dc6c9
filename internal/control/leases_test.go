package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a1    = fleet.Owner{Instance: "a", Incarnation: 1}
	a2    = fleet.Owner{Instance: "a", Incarnation: 2}
	live  = []fleet.Owner{a1}
)

const tickEvery = 100 * time.Millisecond

// ticks runs ticks up to at, and gives when a1 was first due; -1: never.
func ticks(l *leases, from, to time.Duration, lease time.Duration) time.Duration {
	for d := from; d <= to; d += tickEvery {
		if len(l.tick(epoch.Add(d), 1, lease, live)) > 0 {
			return d
		}
	}
	return -1
}

// renews tells whether a1's renewal is granted.
func renews(l *leases, term uint64, at time.Time) bool {
	_, ok := l.renew(a1, term, 0, at)
	return ok
}

func TestLeaseEndsAfterItsLastRenewal(t *testing.T) {
	l := newLeases()
	assert.Equal(t, ticks(l, 0, time.Second, instanceLease), time.Duration(-1))
	assert.Assert(t, renews(l, 1, epoch.Add(time.Second)))
	assert.Equal(t, ticks(l, time.Second, time.Minute, instanceLease), time.Second+instanceLease)
}

// The leader's process is stopped for longer than a lease and goes on as
// leader. All renewals of that time were missed by its fault; expiring on its
// old notes would throw out every healthy instance.
func TestFrozenLeaderExpiresNobodyAtOnce(t *testing.T) {
	l := newLeases()
	ticks(l, 0, time.Second, instanceLease)
	woken := 10 * time.Second
	assert.Equal(t, ticks(l, woken, time.Minute, instanceLease), woken+instanceLease)
}

// A renewal arrives while the expiry is on its way to the log. Granted, the
// instance would believe in a lease that the view no longer holds.
func TestCondemnedIsNotRenewed(t *testing.T) {
	l := newLeases()
	due := ticks(l, 0, time.Minute, instanceLease)
	now := epoch.Add(due)
	assert.Assert(t, l.condemn(a1, now))
	assert.Assert(t, !l.condemn(a1, now))
	assert.Assert(t, !renews(l, 1, now))
	l.proposed(a1) // failed: it stays condemned and is proposed again
	assert.Assert(t, !renews(l, 1, now))
	assert.Assert(t, l.condemn(a1, now))
}

// A renewal arrives between the tick that found a lease ended and its
// condemnation: it wins.
func TestRenewalBeforeCondemnationWins(t *testing.T) {
	l := newLeases()
	now := epoch.Add(ticks(l, 0, time.Minute, instanceLease))
	assert.Assert(t, renews(l, 1, now))
	assert.Assert(t, !l.condemn(a1, now))
}

// The operators shorten the instance lease. Instances still hold the longer
// one that they were granted, so nobody may be expired before it has run out.
func TestShortenedLeaseWaitsForTheLongerOne(t *testing.T) {
	l := newLeases()
	ticks(l, 0, time.Second, 10*time.Second)
	l.renew(a1, 1, 0, epoch.Add(time.Second))
	assert.Equal(t, ticks(l, time.Second, time.Minute, instanceLease), 11*time.Second)
}

// A leader loses its place and wins it back within a moment, just after the
// lease was shortened. What another leader granted meanwhile is unknown here:
// everyone keeps the longest lease that may be held.
func TestNewTermStartsAllLeasesAnew(t *testing.T) {
	l := newLeases()
	ticks(l, 0, time.Second, 10*time.Second)
	shortened := time.Second + tickEvery
	l.tick(epoch.Add(shortened), 1, instanceLease, live)
	l.renew(a1, 1, 0, epoch.Add(shortened))
	elected := shortened + tickEvery
	var due time.Duration
	for due = elected; len(l.tick(epoch.Add(due), 2, instanceLease, live)) == 0; due += tickEvery {
	}
	assert.Equal(t, due, elected+10*time.Second)
}

func TestRenewNeedsTheSameTerm(t *testing.T) {
	l := newLeases()
	l.tick(epoch, 2, instanceLease, live)
	assert.Assert(t, !renews(l, 1, epoch))
	l.resign()
	assert.Assert(t, !renews(l, 2, epoch))
}

func TestBehindCountsTheLiveProcessOnly(t *testing.T) {
	l := newLeases()
	l.tick(epoch, 1, instanceLease, live)
	l.renew(a1, 1, 7, epoch)
	assert.Equal(t, len(l.behind(7, live)), 0)
	assert.Equal(t, len(l.behind(8, live)), 1)
	assert.Equal(t, len(l.behind(7, []fleet.Owner{a2})), 1)
}
