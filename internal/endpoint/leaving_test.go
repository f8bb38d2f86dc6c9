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

// usable reports whether an entry may start new work on the endpoint now: with
// a new slot, or with one of its earlier grants.
func (d *daemon) usable(t *testing.T, attempt string, earlierGrants ...*Grant) bool {
	grant, _, _ := d.client.Acquire(t.Context(), grantRequest("e1", attempt, 0))
	if grant != nil {
		d.client.Release(Release{Grant: *grant, Reason: pb.ReleaseReason_RELEASE_REASON_UNUSED})
		return true
	}
	for _, g := range earlierGrants {
		if d.client.Valid(time.Now(), *g) {
			return true
		}
	}
	return false
}

// lastUsable simulates five seconds and returns the last moment, from now, at
// which any of the entries could start work.
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

// An engine's host is cut off without a leave, and callers would be sent to it
// until their deadlines. One entry, cut off from the engine's home, holds a
// grant from just before.
func TestUnreachableEndpointGetsNoNewWorkAfterTheBound(t *testing.T) {
	withPair(t, 4, func(t *testing.T, net *fakeNet, home, other *daemon) {
		home.heartbeat(announcement("e1", 4), 2)
		lastHeartbeat := time.Now()
		time.Sleep(DefaultLimits().EndpointLease - 50*time.Millisecond)
		grant := other.mustAcquire(t, "x")
		net.setCut(home.rpcAddress(), true)
		before := time.Since(lastHeartbeat)
		last := before + lastUsable(t, grant, nil, home, other)
		t.Logf("last usable %v after the last heartbeat", last)
		assert.Assert(t, last <= NewWorkBound)
		assert.Assert(t, last > before, "the late grant must have been of use for a while")
	})
}

// An engine sends its leave to an entry that is killed at that moment. It gets
// no answer and tells the next entry, as its contract says. From then on no
// entry may start work there, although it sends heartbeats while it finishes.
func TestLeaveSentToAnEntryThatDies(t *testing.T) {
	withPair(t, 4, func(t *testing.T, net *fakeNet, home, other *daemon) {
		sequence := uint64(1)
		sendHeartbeat := func() {
			sequence++
			home.heartbeat(announcement("e1", 4), sequence)
		}
		grant := other.mustAcquire(t, "x")
		net.setCut(home.rpcAddress(), true)
		var reply engineapi.LeaveReply
		other.post("/v1/endpoints/leave", engineapi.Leave{ID: "e1", Incarnation: 1}, &reply)
		assert.Assert(t, !reply.HomeConfirmed, "an entry that can't reach the home must not confirm")
		other.stop()
		assert.Assert(t, home.usable(t, "y"))
		assert.Equal(t, home.post("/v1/endpoints/leave", engineapi.Leave{ID: "e1", Incarnation: 1}, &reply), 200)
		assert.Assert(t, reply.HomeConfirmed)
		last := lastUsable(t, grant, sendHeartbeat, home)
		t.Logf("last usable %v after the leave", last)
		assert.Assert(t, last <= NewWorkBound)
	})
}

// A leave sent to any entry reaches the home and stops its grants at once.
func TestLeaveThroughAnotherEntry(t *testing.T) {
	withPair(t, 4, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		var reply engineapi.LeaveReply
		other.post("/v1/endpoints/leave", engineapi.Leave{ID: "e1", Incarnation: 1}, &reply)
		assert.Assert(t, reply.HomeConfirmed)
		_, refusal, err := other.client.Acquire(t.Context(), grantRequest("e1", "x", 0))
		assert.NilError(t, err)
		assert.Equal(t, refusal.Status, pb.GrantStatus_GRANT_STATUS_LEAVING)
		time.Sleep(minPollInterval + 10*time.Millisecond)
		assert.Equal(t, other.candidates(), 0)
	})
}

// An entry is cut off from an engine's home. It must not go on with what it
// knew: its digests are too old after two seconds, and it can't grant slots
// itself.
func TestEntryCutOffFromTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		home, other := startPair(t, net, "e1")
		defer home.stop()
		defer other.stop()
		sequence := uint64(0)
		for range 10 {
			sequence++
			home.heartbeat(announcement("e1", 4), sequence)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, other.candidates(), 1)
		net.setCut(home.rpcAddress(), true)
		_, _, err := other.client.Acquire(t.Context(), grantRequest("e1", "x", 0))
		assert.Assert(t, err != nil)
		time.Sleep(maxDigestAge + minPollInterval)
		assert.Equal(t, other.candidates(), 0)
		assert.Assert(t, !other.client.Running("x"))
	})
}

// The home of some engines is killed. By its last digests they are empty, so
// requests would try them first, again and again, until their retries are
// spent.
func TestEndpointsOfAKilledHomeAreNoCandidates(t *testing.T) {
	withPair(t, 4, func(t *testing.T, net *fakeNet, home, other *daemon) {
		net.setCut(home.rpcAddress(), true)
		assert.Equal(t, other.candidates(), 1)
		_, _, err := other.client.Acquire(t.Context(), grantRequest("e1", "x", 0))
		assert.Assert(t, err != nil)
		assert.Equal(t, other.candidates(), 0)
		net.setCut(home.rpcAddress(), false)
		home.heartbeat(announcement("e1", 4), 2)
		time.Sleep(minPollInterval + 10*time.Millisecond)
		assert.Equal(t, other.candidates(), 1, "it answers again")
	})
}

// The engine's home changes between a request's digest and its acquisition. The
// old home names the new one, which is asked next.
func TestAcquireFollowsAHomeChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		first, second := homes("e1")
		before := viewOf(1, first)
		old, next := startDaemon(t, net, first, before), startDaemon(t, net, second, before)
		defer old.stop()
		defer next.stop()
		old.heartbeat(announcement("e1", 4), 1)
		time.Sleep(minPollInterval + 10*time.Millisecond)
		after := viewOf(2, first, second)
		next.setView(after)
		next.heartbeat(announcement("e1", 4), 2)
		synctest.Wait()
		next.home.step(func(c *core, now time.Time) { c.endpoints["e1"].noGrantsBefore = now })
		digests := old.client.index.Load()
		old.setView(after)
		synctest.Wait()
		old.client.index.Store(digests) // of its own home, before its poll after the change
		grant := old.mustAcquire(t, "x")
		old.client.Release(Release{Grant: *grant, Reason: pb.ReleaseReason_RELEASE_REASON_UNUSED})
		synctest.Wait()
		assert.Equal(t, next.used("e1"), 0)
	})
}

// A decode slot waits for a long prefill. It is renewed until the engine lists
// the request, and is free for others soon after its owner is killed.
func TestGrantIsRenewedUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, other := startPair(t, newFakeNet(t), "e1")
		defer home.stop()
		sequence := uint64(0)
		sendHeartbeat := func() {
			sequence++
			home.heartbeat(announcement("e1", 1), sequence)
			time.Sleep(300 * time.Millisecond)
		}
		sendHeartbeat()
		sendHeartbeat()
		grant := other.mustAcquire(t, "x")
		for range 20 {
			sendHeartbeat()
		}
		assert.Assert(t, other.client.Valid(time.Now(), *grant))
		assert.Assert(t, !home.usable(t, "y"))
		other.stop()
		for range 8 {
			sendHeartbeat()
		}
		assert.Assert(t, home.usable(t, "z"), "a stopped owner renews nothing")
		assert.Assert(t, fleet.AttemptID("x") == grant.Attempt)
	})
}
