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

// Two daemons see one idle engine in the same old digests. The first fills it;
// the second, still believing it idle, sends its request there as well and the
// caller waits behind the first's, while three other engines stand idle.
func TestTakeByAnOldDigestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, other := pair(t, newFakeNet(t), "e1")
		defer home.stop()
		defer other.stop()
		tree := &settings.Tree{Teams: map[fleet.Team]settings.Team{"sorters": {PermittedZones: []fleet.AvailabilityZone{zoneNear}}}}
		other.source.Set(&membership.State{View: other.source.State().View, Tree: tree})
		for n := range 4 {
			for _, d := range []*daemon{home, other} {
				d.beat(announcement(fmt.Sprint("e", n+1), 1), 1)
			}
		}
		time.Sleep(pollEvery + 10*time.Millisecond)
		first := home.mustTake(t, "first")
		for range beliefTries {
			_, refusal, err := other.client.Take(t.Context(), take("e1", "second", 10*time.Second))
			assert.NilError(t, err)
			assert.Assert(t, refusal != nil, "it waits where more is ahead than it believed")
			assert.Equal(t, refusal.Status, pb.GrantStatus_GRANT_STATUS_FULL)
			x := other.client.index.Load().byID["e1"]
			var seen Candidate
			assert.Assert(t, x.fill(time.Now(), &seen))
			assert.Assert(t, seen.NextFree > 0, "the refusal brings the home's figures")
			x.figures.Store(&figures{at: time.Now()}) // as old digests say
		}
		granted := make(chan *Grant, 1)
		go func() {
			g, _, _ := other.client.Take(t.Context(), take("e1", "second", 10*time.Second))
			granted <- g
		}()
		time.Sleep(100 * time.Millisecond)
		home.finish(first)
		assert.Assert(t, <-granted != nil, "after so many refusals it waits")
		assert.Equal(t, len(other.client.doubts), 0)
	})
}

// With few engines there is nowhere else to go, and a refusal would fail a
// request that could have waited.
func TestTakeWithoutOthersWaits(t *testing.T) {
	inPair(t, 1, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		x := other.client.index.Load()
		assert.Equal(t, other.client.mostAhead(time.Now(), x, x.byID["e1"], take("e1", "x", 0)), time.Duration(0))
		bounded := take("e1", "x", 0)
		bounded.MostAhead = time.Second
		assert.Equal(t, other.client.mostAhead(time.Now(), x, x.byID["e1"], bounded), time.Second)
	})
}

func TestDoubtsAreBounded(t *testing.T) {
	d := doubts{}
	for n := range 3 * maxDoubts {
		d.note(holdKey{fleet.AttemptID(fmt.Sprint(n)), fleet.RoleDecode})
	}
	assert.Assert(t, len(d) <= maxDoubts)
}
