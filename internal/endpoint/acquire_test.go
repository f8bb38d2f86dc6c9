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

// startPair starts two daemons; the first one returned is the home of endpoint.
func startPair(t *testing.T, n *fakeNet, endpoint string) (home, other *daemon) {
	t.Helper()
	b, a := homes(fleet.EndpointID(endpoint))
	view := viewOf(1, a, b)
	return startDaemon(t, n, a, view), startDaemon(t, n, b, view)
}

// withPair runs play in a synctest bubble with a pair of daemons, one of them
// the home of e1, whose first heartbeat has arrived and is known to both.
func withPair(t *testing.T, slots int, run func(t *testing.T, net *fakeNet, home, other *daemon)) {
	t.Helper()
	withServedPair(t, slots, func(h *Home) pb.DRPCHomeServer { return h }, run)
}

// withServedPair is withPair, with the home's calls answered by what serve
// returns.
func withServedPair(t *testing.T, slots int, serve func(*Home) pb.DRPCHomeServer, run func(t *testing.T, net *fakeNet, home, other *daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		home, other := startPair(t, net, "e1")
		net.serve(t, home.rpcAddress(), serve(home.home))
		defer home.stop()
		defer other.stop()
		home.heartbeat(announcement("e1", slots), 1)
		time.Sleep(minPollInterval + 10*time.Millisecond)
		run(t, net, home, other)
	})
}

// An endpoint announces itself to any entry and is directed to its home.
// Callers at another entry find it, acquire its slots up to the last one and
// release them.
func TestAcquireAndReleaseThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, other := startPair(t, newFakeNet(t), "e1")
		defer home.stop()
		defer other.stop()
		a := announcement("e1", 2)
		var reply engineapi.AnnounceReply
		assert.Equal(t, other.post("/v1/endpoints/announce", a, &reply), 200)
		assert.Equal(t, reply.Home, home.source.Self().EndpointAddress)
		home.heartbeat(a, 1)
		time.Sleep(minPollInterval + 10*time.Millisecond)

		list := other.client.Candidates(query(zoneNear))
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Slots, 2)
		assert.Equal(t, len(other.client.Candidates(query(zoneFar))), 0)

		first := other.mustAcquire(t, "x1")
		home.mustAcquire(t, "x2")
		_, refusal, err := other.client.Acquire(t.Context(), grantRequest("e1", "x3", 0))
		assert.NilError(t, err)
		assert.Equal(t, refusal.Status, pb.GrantStatus_GRANT_STATUS_FULL)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Assert(t, other.client.Running("x1"))
		assert.Assert(t, !other.client.Running("x3"))

		other.client.Release(Release{Grant: *first, Reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED, OutputTokens: 10, Busy: time.Second})
		synctest.Wait()
		assert.Assert(t, !other.client.Running("x1"))
		other.mustAcquire(t, "x4")
	})
}
