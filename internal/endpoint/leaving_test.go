package endpoint

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// usable tells whether an entry may begin new work on the endpoint now: with a
// fresh slot, or with one of its grants.
func (d *daemon) usable(t *testing.T, attempt string, earlier ...*Grant) bool {
	grant, _, _ := d.client.Take(t.Context(), take("e1", attempt, 0))
	if grant != nil {
		d.client.Give(Release{Grant: *grant, Reason: pb.ReleaseReason_RELEASE_REASON_UNUSED})
		return true
	}
	for _, g := range earlier {
		if d.client.Valid(time.Now(), *g) {
			return true
		}
	}
	return false
}

// lastUsable plays five seconds and gives the last moment, from now, at which
// any of the entries could begin work.
func lastUsable(t *testing.T, earlier *Grant, each func(), entries ...*daemon) time.Duration {
	began := time.Now()
	last := time.Duration(0)
	for n := 0; time.Since(began) < 5*time.Second; n++ {
		for m, d := range entries {
			if d.usable(t, string(rune('a'+m))+time.Since(began).String(), earlier) {
				last = time.Since(began)
			}
		}
		if each != nil {
			each()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last
}

// An engine's host is cut off; callers are sent to it until their patience
// ends. It went silent without a word, and one entry, cut off from the engine's
// home, holds a grant from just before.
func TestSilentEndpointGetsNoNewWorkWithinTheBound(t *testing.T) {
	inPair(t, 4, func(t *testing.T, net *fakeNet, home, other *daemon) {
		home.beat(announcement("e1", 4), 2)
		silent := time.Now()
		time.Sleep(DefaultLimits().EndpointLease - 50*time.Millisecond)
		grant := other.mustTake(t, "x")
		net.setCut(home.rpcAddress(), true)
		before := time.Since(silent)
		last := before + lastUsable(t, grant, nil, home, other)
		t.Logf("last usable %v after the last heartbeat", last)
		assert.Assert(t, last <= NewWorkBound)
		assert.Assert(t, last > before, "the late grant must have been of use for a while")
	})
}

// An engine says that it leaves, to an entry that is killed in that moment. It
// gets no answer and tells the next entry, as its contract says; from then on
// no entry may begin work there, though it sends heartbeats while it finishes.
func TestLeaveToldToAnEntryThatDies(t *testing.T) {
	inPair(t, 4, func(t *testing.T, net *fakeNet, home, other *daemon) {
		sequence := uint64(1)
		beat := func() {
			sequence++
			home.beat(announcement("e1", 4), sequence)
		}
		grant := other.mustTake(t, "x")
		net.setCut(home.rpcAddress(), true)
		var reply engineapi.LeaveReply
		other.post("/v1/endpoints/leave", engineapi.Leave{ID: "e1", Incarnation: 1}, &reply)
		assert.Assert(t, !reply.Spread, "an entry that can't reach the home must not confirm")
		other.stop()
		assert.Assert(t, home.usable(t, "y"))
		assert.Equal(t, home.post("/v1/endpoints/leave", engineapi.Leave{ID: "e1", Incarnation: 1}, &reply), 200)
		assert.Assert(t, reply.Spread)
		last := lastUsable(t, grant, beat, home)
		t.Logf("last usable %v after the leave", last)
		assert.Assert(t, last <= NewWorkBound)
	})
}

// A leave told to any entry reaches the home and stops it at once.
func TestLeaveThroughAnotherEntry(t *testing.T) {
	inPair(t, 4, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		var reply engineapi.LeaveReply
		other.post("/v1/endpoints/leave", engineapi.Leave{ID: "e1", Incarnation: 1}, &reply)
		assert.Assert(t, reply.Spread)
		_, refusal, err := other.client.Take(t.Context(), take("e1", "x", 0))
		assert.NilError(t, err)
		assert.Equal(t, refusal.Status, pb.GrantStatus_GRANT_STATUS_LEAVING)
		time.Sleep(pollEvery + 10*time.Millisecond)
		assert.Equal(t, other.candidates(), 0)
	})
}

// An entry is cut off from an engine's home. It may not go on by what it knew:
// its digests are too old after two seconds, and it has no slot to give.
func TestEntryCutOffFromTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		home, other := pair(t, net, "e1")
		defer home.stop()
		defer other.stop()
		sequence := uint64(0)
		for range 10 {
			sequence++
			home.beat(announcement("e1", 4), sequence)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, other.candidates(), 1)
		net.setCut(home.rpcAddress(), true)
		_, _, err := other.client.Take(t.Context(), take("e1", "x", 0))
		assert.Assert(t, err != nil)
		time.Sleep(digestLife + pollEvery)
		assert.Equal(t, other.candidates(), 0)
		assert.Assert(t, !other.client.Running("x"))
	})
}

// The home of some engines is killed. Its last digests say that they are empty;
// requests would try them first, again and again, until their retries are spent.
func TestEndpointsOfAKilledHomeAreSetAside(t *testing.T) {
	inPair(t, 4, func(t *testing.T, net *fakeNet, home, other *daemon) {
		net.setCut(home.rpcAddress(), true)
		assert.Equal(t, other.candidates(), 1)
		_, _, err := other.client.Take(t.Context(), take("e1", "x", 0))
		assert.Assert(t, err != nil)
		assert.Equal(t, other.candidates(), 0)
		net.setCut(home.rpcAddress(), false)
		home.beat(announcement("e1", 4), 2)
		time.Sleep(pollEvery + 10*time.Millisecond)
		assert.Equal(t, other.candidates(), 1, "it answers again")
	})
}

// The engine's home changes between a request's digest and its take: the old
// home names the new one, which the request then asks.
func TestTakeFollowsTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		first, second := homes("e1")
		before := viewOf(1, first)
		old, next := start(t, net, first, before), start(t, net, second, before)
		defer old.stop()
		defer next.stop()
		old.beat(announcement("e1", 4), 1)
		time.Sleep(pollEvery + 10*time.Millisecond)
		after := viewOf(2, first, second)
		next.see(after)
		next.beat(announcement("e1", 4), 2)
		synctest.Wait()
		next.home.step(func(c *core, now time.Time) { c.endpoints["e1"].quiet = now })
		// old's follower still has the digest of its own home.
		old.see(after)
		grant := old.mustTake(t, "x")
		old.client.Give(Release{Grant: *grant, Reason: pb.ReleaseReason_RELEASE_REASON_UNUSED})
		synctest.Wait()
		assert.Equal(t, next.used("e1"), 0)
	})
}

// A decode slot waits for a long prefill: it is renewed until the engine lists
// the request, and is another's soon after its owner is killed.
func TestGrantIsRenewedUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, other := pair(t, newFakeNet(t), "e1")
		defer home.stop()
		sequence := uint64(0)
		beat := func() {
			sequence++
			home.beat(announcement("e1", 1), sequence)
			time.Sleep(300 * time.Millisecond)
		}
		beat()
		beat()
		grant := other.mustTake(t, "x")
		for range 20 {
			beat()
		}
		assert.Assert(t, other.client.Valid(time.Now(), *grant))
		assert.Assert(t, !home.usable(t, "y"))
		other.stop()
		for range 8 {
			beat()
		}
		assert.Assert(t, home.usable(t, "z"), "an owner that is gone renews nothing")
		assert.Assert(t, fleet.AttemptID("x") == grant.Attempt)
	})
}
