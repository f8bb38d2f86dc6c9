package endpoint

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// orphanCause is one way to orphan a hold. It happens at 0.9 s, after the
// endpoint has listed the hold from the start.
type orphanCause func(c *core, now time.Time)

// timeToSweep simulates heartbeats of an engine that keeps listing an orphaned
// hold until a reply says to cancel it, and returns the time from the loss
// until then. lost is how many such replies don't reach the engine.
func timeToSweep(t *testing.T, g testFaults, loss orphanCause, lost int) (time.Duration, bool) {
	c := homeOfOne(t, 2, g)
	owner := requestFor("x", epoch).owner
	c.grant(epoch, requestFor("x", epoch))
	sequence := uint64(1)
	for now := at(300 * time.Millisecond); now.Before(at(30 * time.Second)); now = now.Add(300 * time.Millisecond) {
		if now.Equal(at(900 * time.Millisecond)) {
			loss(c, now)
		}
		sequence++
		cancel := heartbeatTo(c, now, announcement("e1", 2), sequence, engineapi.Held{Attempt: "x", Owner: owner,
			Stage: engineapi.StageDecode, AgeMs: now.Sub(epoch).Milliseconds()})
		c.tick(now)
		for _, d := range c.takeEffects().ownerQueries {
			c.disowned(now, "e1", d.owner, fleet.AttemptID(d.held.AttemptId))
		}
		if slices.Contains(cancel, "x") {
			if lost == 0 {
				return now.Sub(at(900 * time.Millisecond)), true
			}
			lost--
		}
	}
	return 0, false
}

// An engine's memory stays taken by a request whose caller has disconnected: the entry
// that ran it was killed, or the cancel to the engine was lost, or the entry
// has forgotten the request without a release.
func TestOrphansAreFreed(t *testing.T) {
	self := instance("a", zoneNear)
	for name, test := range map[string]struct {
		loss  orphanCause
		lost  int
		bound time.Duration
	}{
		"owner left the view": {bound: 600 * time.Millisecond, loss: func(c *core, now time.Time) {
			c.observe(now, viewOf(2, self), true)
		}},
		"owner restarted": {bound: 600 * time.Millisecond, loss: func(c *core, now time.Time) {
			restarted := instance("owner", zoneFar)
			restarted.Incarnation = 2
			c.observe(now, viewOf(2, self, restarted), true)
		}},
		"released, engine's cancel lost": {bound: 2400 * time.Millisecond, loss: func(c *core, now time.Time) {
			releaseSlot(c, now, "x", pb.ReleaseReason_RELEASE_REASON_CANCELLED, fleet.Fingerprint{})
		}},
		"owner left, three replies lost": {lost: 3, bound: 1500 * time.Millisecond, loss: func(c *core, now time.Time) {
			c.observe(now, viewOf(2, self), true)
		}},
		"forgotten by a live owner": {bound: grantedQueryInterval, loss: func(*core, time.Time) {}},
	} {
		t.Run(name, func(t *testing.T) {
			freedAfter, ok := timeToSweep(t, testFaults{}, test.loss, test.lost)
			assert.Assert(t, ok, "never freed")
			assert.Assert(t, freedAfter <= test.bound, "took %v", freedAfter)
			t.Logf("freed %v after the loss", freedAfter)
			_, ok = timeToSweep(t, testFaults{noSweep: true}, test.loss, test.lost)
			assert.Assert(t, !ok, "the test must fail without the protection")
		})
	}
}

// A prefill is released when it has ended. Its KV cache stays listed until the
// decode engine has fetched it, and must not be cancelled during the transfer.
func TestExportedCacheIsNotSweptDuringItsTransfer(t *testing.T) {
	c := homeOfOne(t, 2, testFaults{})
	c.grant(epoch, requestFor("x", epoch))
	finish(c, at(300*time.Millisecond), "x")
	held := heldBy("x", requestFor("x", epoch).owner)
	held.Stage = engineapi.StageExported
	for n := range 4 {
		now := at(time.Duration(n+2) * 300 * time.Millisecond)
		assert.Equal(t, len(heartbeatTo(c, now, announcement("e1", 2), uint64(n+2), held)), 0)
	}
}

// A hold is not orphaned when its owner joined by a view that has not arrived
// here yet.
func TestUnseenOwnerIsNotSweptBeforeTheViewCanArrive(t *testing.T) {
	c := homeOfOne(t, 2, testFaults{})
	unseenOwner := fleet.Owner{Instance: "late-joiner", Incarnation: 1}
	assert.Equal(t, len(heartbeatTo(c, at(300*time.Millisecond), announcement("e1", 2), 2, heldBy("x", unseenOwner))), 0)
	c.observe(at(2*time.Second), viewOf(2, instance("a", zoneNear), instance("late-joiner", zoneFar)), true)
	held := heldBy("x", unseenOwner)
	held.AgeMs = 60_000
	assert.Equal(t, len(heartbeatTo(c, at(2100*time.Millisecond), announcement("e1", 2), 3, held)), 0)
}
