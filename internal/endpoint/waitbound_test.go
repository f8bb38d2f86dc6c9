package endpoint

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Two daemons see an idle engine in the same outdated digests, and the first
// fills it. The second, which still predicts no wait, would send its request
// there too and wait behind the first one's while three other engines are idle.
func TestAcquireOnStaleDigestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, other := startPair(t, newFakeNet(t), "e1")
		defer home.stop()
		defer other.stop()
		tree := &settings.Tree{Teams: map[fleet.Team]settings.Team{"sorters": {PermittedZones: []fleet.AvailabilityZone{zoneNear}}}}
		other.source.Set(&membership.State{View: other.source.State().View, Tree: tree})
		for n := range 4 {
			for _, d := range []*daemon{home, other} {
				d.heartbeat(announcement(fmt.Sprint("e", n+1), 1), 1)
			}
		}
		time.Sleep(minPollInterval + 10*time.Millisecond)
		first := home.mustAcquire(t, "first")
		for range maxStaleRefusals {
			_, refusal, err := other.client.Acquire(t.Context(), grantRequest("e1", "second", 10*time.Second))
			assert.NilError(t, err)
			assert.Assert(t, refusal != nil, "it waits longer than predicted")
			assert.Equal(t, refusal.Status, pb.GrantStatus_GRANT_STATUS_FULL)
			x := other.client.index.Load().byID["e1"]
			var seen Candidate
			assert.Assert(t, x.fill(time.Now(), &seen))
			assert.Assert(t, seen.SlotWait > 0, "the refusal carries the home's data")
			x.dynamic.Store(&dynamicState{requestedAt: time.Now()}) // as in outdated digests
		}
		granted := make(chan *Grant, 1)
		go func() {
			g, _, _ := other.client.Acquire(t.Context(), grantRequest("e1", "second", 10*time.Second))
			granted <- g
		}()
		time.Sleep(100 * time.Millisecond)
		home.finish(first)
		assert.Assert(t, <-granted != nil, "after maxStaleRefusals refusals it waits")
		assert.Equal(t, len(other.client.refusalCounts), 0)
	})
}

// With few engines there is no alternative, and a refusal would fail a request
// that could have waited.
func TestAcquireWithoutAlternativesWaits(t *testing.T) {
	withPair(t, 1, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		x := other.client.index.Load()
		assert.Equal(t, other.client.maxPredictedWait(time.Now(), x, x.byID["e1"], grantRequest("e1", "x", 0)), time.Duration(0))
		bounded := grantRequest("e1", "x", 0)
		bounded.MaxPredictedWait = time.Second
		assert.Equal(t, other.client.maxPredictedWait(time.Now(), x, x.byID["e1"], bounded), time.Second)
	})
}

func TestRefusalCountsAreBounded(t *testing.T) {
	d := refusalCounts{}
	for n := range 3 * maxRefusalCounts {
		d.add(holdKey{fleet.AttemptID(fmt.Sprint(n)), fleet.RoleDecode})
	}
	assert.Assert(t, len(d) <= maxRefusalCounts)
}
