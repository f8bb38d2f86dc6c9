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

// orphan is one way to leave a hold behind: what happens at 1 s, after the
// endpoint has listed it from the start.
type orphan func(c *core, now time.Time)

// sweepTime plays heartbeats of an engine that goes on listing an orphan until
// a reply to it says to cancel; it gives the time from the loss to that. lost
// is how many such replies don't reach the engine.
func sweepTime(t *testing.T, g guards, loss orphan, lost int) (time.Duration, bool) {
	c := soleHome(t, 2, g)
	owner := askFor("x", epoch).owner
	c.grant(epoch, askFor("x", epoch))
	sequence := uint64(1)
	for now := at(300 * time.Millisecond); now.Before(at(30 * time.Second)); now = now.Add(300 * time.Millisecond) {
		if now.Equal(at(900 * time.Millisecond)) {
			loss(c, now)
		}
		sequence++
		cancel := beatCore(c, now, announcement("e1", 2), sequence, engineapi.Held{Attempt: "x", Owner: owner,
			Stage: engineapi.StageDecode, AgeMs: now.Sub(epoch).Milliseconds()})
		c.tick(now)
		for _, d := range c.drain().disowns {
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

// An engine's memory stays taken by a request whose caller has long gone: the
// entry that ran it was killed, or the cancel to the engine was lost, or the
// entry has forgotten the request without a word.
func TestOrphansAreFreed(t *testing.T) {
	self := instance("a", zoneNear)
	for name, test := range map[string]struct {
		loss  orphan
		lost  int
		bound time.Duration
	}{
		"owner left the view": {bound: 600 * time.Millisecond, loss: func(c *core, now time.Time) {
			c.observe(now, viewOf(2, self), true)
		}},
		"owner restarted": {bound: 600 * time.Millisecond, loss: func(c *core, now time.Time) {
			again := instance("owner", zoneFar)
			again.Incarnation = 2
			c.observe(now, viewOf(2, self, again), true)
		}},
		"released, engine's cancel lost": {bound: 2400 * time.Millisecond, loss: func(c *core, now time.Time) {
			giveBack(c, now, "x", pb.ReleaseReason_RELEASE_REASON_CANCELLED, fleet.Fingerprint{})
		}},
		"owner left, three replies lost": {lost: 3, bound: 1500 * time.Millisecond, loss: func(c *core, now time.Time) {
			c.observe(now, viewOf(2, self), true)
		}},
		"forgotten by a live owner": {bound: askGrantedEvery, loss: func(*core, time.Time) {}},
	} {
		t.Run(name, func(t *testing.T) {
			took, ok := sweepTime(t, guards{}, test.loss, test.lost)
			assert.Assert(t, ok, "never freed")
			assert.Assert(t, took <= test.bound, "took %v", took)
			t.Logf("freed %v after the loss", took)
			_, ok = sweepTime(t, guards{noSweep: true}, test.loss, test.lost)
			assert.Assert(t, !ok, "the proof must fail without its guard")
		})
	}
}

// A prefill is given back when it has ended; its KV cache stays listed until
// the decode engine has fetched it, and must not be swept from under the
// transfer.
func TestExportedCacheIsNotSweptDuringItsTransfer(t *testing.T) {
	c := soleHome(t, 2, guards{})
	c.grant(epoch, askFor("x", epoch))
	finish(c, at(300*time.Millisecond), "x")
	held := heldBy("x", askFor("x", epoch).owner)
	held.Stage = engineapi.StageExported
	for n := range 4 {
		now := at(time.Duration(n+2) * 300 * time.Millisecond)
		assert.Equal(t, len(beatCore(c, now, announcement("e1", 2), uint64(n+2), held)), 0)
	}
}

// A hold whose owner joined by a view that is still on its way here is not an
// orphan.
func TestUnseenOwnerIsNotSweptBeforeTheViewCanArrive(t *testing.T) {
	c := soleHome(t, 2, guards{})
	young := fleet.Owner{Instance: "late-joiner", Incarnation: 1}
	assert.Equal(t, len(beatCore(c, at(300*time.Millisecond), announcement("e1", 2), 2, heldBy("x", young))), 0)
	c.observe(at(2*time.Second), viewOf(2, instance("a", zoneNear), instance("late-joiner", zoneFar)), true)
	held := heldBy("x", young)
	held.AgeMs = 60_000
	assert.Equal(t, len(beatCore(c, at(2100*time.Millisecond), announcement("e1", 2), 3, held)), 0)
}
