package endpoint

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// homeChange plays the story below; it gives the most requests that were ever
// granted or held at once.
func homeChange(t *testing.T, g guards, oldLeaves bool) (most int, granted time.Time) {
	const slots = 2
	old, next, before, after := joining(g)
	if oldLeaves {
		delete(after.Instances, old.self.Instance)
	}
	beatCore(old, at(5700*time.Millisecond), announcement("e1", slots), 1)
	// An entry begins its work as late as it may, and the engine's held list
	// shows it only from then on.
	outstanding := map[string]time.Time{}
	change := at(6 * time.Second)
	for now := at(5700 * time.Millisecond); now.Before(at(13 * time.Second)); now = now.Add(50 * time.Millisecond) {
		if !now.Before(change) {
			next.observe(now, after, true)
			if now.Sub(change)%(300*time.Millisecond) == 0 {
				beatCore(next, now, announcement("e1", slots), 2+uint64(now.Sub(change)/(300*time.Millisecond)))
			}
		}
		// The old home is cut off: it goes on until its own leases run out.
		old.observe(now, before, now.Before(change.Add(-time.Second).Add(DefaultLimits().SettingsLease)) && !(oldLeaves && !now.Before(change)))
		for n, c := range []*core{old, next} {
			id := fmt.Sprint("x", n, now.UnixMilli())
			got, _ := c.grant(now, askFor(id, now))
			if got.status == statusGranted {
				outstanding[id] = now.Add(got.expires)
				if n == 1 && granted.IsZero() {
					granted = now
				}
			}
			c.tick(now)
		}
		maps.DeleteFunc(outstanding, func(_ string, until time.Time) bool { return !now.Before(until) })
		most = max(most, len(outstanding))
	}
	return most, granted
}

// homes gives two instances of which the second is home of endpoint when both
// are in the view.
func homes(endpoint fleet.EndpointID) (first, second fleet.Instance) {
	a, b := instance("a", zoneNear), instance("b", zoneNear)
	home, _ := fleet.HomeOf(endpoint, zoneNear, viewOf(1, a, b))
	if home.ID == a.ID {
		return b, a
	}
	return a, b
}

// joining is a core that is home of e1 by the first view and one that is by the
// second; both have seen the first.
func joining(g guards) (old, next *core, before, after fleet.View) {
	a, b := homes("e1")
	owner := instance("owner", zoneFar)
	before, after = viewOf(1, a, owner), viewOf(2, a, b, owner)
	return coreAt(epoch, a, before, g), coreAt(epoch, b, before, g), before, after
}

// Callers see an engine refuse with "full" what they were granted. The home of
// the engine is cut off or frozen; the view makes another instance home; both
// give the same slots away, the second because the engine's held list doesn't
// yet show what the first has granted.
func TestNeverMoreGrantsThanSlotsOverAHomeChange(t *testing.T) {
	for name, oldLeaves := range map[string]bool{"old home still in the view": false, "old home's lease ended": true} {
		t.Run(name, func(t *testing.T) {
			most, granted := homeChange(t, guards{}, oldLeaves)
			assert.Assert(t, most <= 2, "%d grants outstanding for 2 slots", most)
			assert.Assert(t, !granted.IsZero(), "the new home never granted")
			t.Logf("the new home granted %v after the view change", granted.Sub(at(6*time.Second)))
			most, _ = homeChange(t, guards{noQuiet: true}, oldLeaves)
			assert.Assert(t, most > 2, "the proof must fail without its guard")
		})
	}
}

// A new home takes over an engine full of other entries' requests. It counts
// them from the held list, refuses while it is full, and knows the owners.
func TestRebuildFromHeldList(t *testing.T) {
	owner := instance("owner", zoneFar)
	c := emptyHome(guards{})
	now := at(6 * time.Second)
	c.tick(now)
	beatCore(c, now, announcement("e1", 2), 7, heldBy("p", owner.Owner()), heldBy("q", owner.Owner()))
	assert.Equal(t, statusAt(c, now, "x"), statusFull)
	freed := c.release(now, releaseAsk{endpoint: "e1", key: holdKey{"p", fleet.RoleDecode}, owner: owner.Owner()})
	assert.Equal(t, freed.status, statusGranted)
	assert.Equal(t, statusAt(c, now, "x"), statusGranted)
}

// An engine has said that it leaves and finishes its streams; its home is
// replaced meanwhile. The heartbeats to the new home don't say that it leaves.
func TestLeavingOutlastsAHomeChange(t *testing.T) {
	a, b := homes("e1")
	c := coreAt(epoch, b, viewOf(1, a, b), guards{})
	assert.Assert(t, !c.leave("e1", 1) == true, "not home of a known endpoint yet")
	beatCore(c, at(time.Second), announcement("e1", 2), 1)
	assert.Equal(t, statusAt(c, at(time.Second), "x"), pb.GrantStatus_GRANT_STATUS_LEAVING)
	restarted := announcement("e1", 2)
	restarted.Incarnation = 2
	beatCore(c, at(2*time.Second), restarted, 1)
	assert.Equal(t, statusAt(c, at(2*time.Second), "y"), statusGranted)
}
