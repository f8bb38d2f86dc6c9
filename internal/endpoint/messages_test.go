package endpoint

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// lossyHome does what it is asked and loses the next repliesToLose replies.
type lossyHome struct {
	*Home
	repliesToLose atomic.Int32
}

var errReplyLost = errors.New("connection closed")

func (l *lossyHome) lost() bool { return l.repliesToLose.Add(-1) >= 0 }

func (l *lossyHome) Grant(ctx context.Context, in *pb.GrantRequest) (*pb.GrantReply, error) {
	reply, err := l.Home.Grant(ctx, in)
	if l.lost() {
		return nil, errReplyLost
	}
	return reply, err
}

func (l *lossyHome) Release(ctx context.Context, in *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	reply, err := l.Home.Release(ctx, in)
	if l.lost() {
		return nil, errReplyLost
	}
	return reply, err
}

// withLossyPair is withPair, with one slot and a home that loses replies.
func withLossyPair(t *testing.T, run func(t *testing.T, home, other *daemon, lossy *lossyHome)) {
	t.Helper()
	lossy := &lossyHome{}
	serve := func(h *Home) pb.DRPCHomeServer {
		lossy.Home = h
		return lossy
	}
	withServedPair(t, 1, serve, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		run(t, home, other, lossy)
	})
}

func (d *daemon) used(id string) (n int) {
	d.home.step(func(c *core, _ time.Time) { n = c.endpoints[fleet.EndpointID(id)].used() })
	return n
}

// The reply to a grant request is lost: the home has granted the slot, and the
// entry doesn't know. The entry releases it in any case.
func TestLostGrantReply(t *testing.T) {
	withLossyPair(t, func(t *testing.T, home, other *daemon, lossy *lossyHome) {
		lossy.repliesToLose.Store(1)
		grant, refusal, err := other.client.Acquire(t.Context(), grantRequest("e1", "x", 0))
		assert.Assert(t, err != nil && grant == nil && refusal == nil)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, home.used("e1"), 0)
		assert.Assert(t, !other.client.Running("x"))
	})
}

// The reply to a release is lost several times. The release is repeated until
// it is confirmed, and a repeat doesn't free a slot that was granted anew
// meanwhile.
func TestLostReleaseReply(t *testing.T) {
	withLossyPair(t, func(t *testing.T, home, other *daemon, lossy *lossyHome) {
		grant := other.mustAcquire(t, "x")
		lossy.repliesToLose.Store(4)
		other.finish(grant)
		other.finish(grant)
		synctest.Wait()
		home.mustAcquire(t, "y")
		time.Sleep(time.Second)
		assert.Equal(t, home.used("e1"), 1)
		assert.Assert(t, lossy.repliesToLose.Load() < 0, "the release must have been repeated until confirmed")
	})
}

// Messages about one attempt arrive late, twice and out of order. Whatever
// their order, a released slot is free, and no other attempt's slot is
// affected.
func TestReorderedMessages(t *testing.T) {
	grant := func(c *core) { c.grant(epoch, requestFor("x", epoch)) }
	release := func(c *core) {
		finish(c, epoch, "x")
	}
	other := func(c *core) { c.grant(epoch, requestFor("y", epoch)) }
	stranger := func(c *core) {
		c.release(epoch, slotRelease{endpoint: "e1", key: holdKey{"x", fleet.RoleDecode}, owner: fleet.Owner{Instance: "owner", Incarnation: 7}})
	}
	for name, test := range map[string]struct {
		steps []func(*core)
		want  int
	}{
		"in order":                     {[]func(*core){grant, release}, 0},
		"release overtakes":            {[]func(*core){release, grant}, 0},
		"grant twice":                  {[]func(*core){grant, grant}, 1},
		"release twice":                {[]func(*core){grant, other, release, release}, 1},
		"grant again after release":    {[]func(*core){grant, release, grant}, 0},
		"release by other incarnation": {[]func(*core){grant, stranger}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := homeOfOne(t, 2, testFaults{})
			for _, step := range test.steps {
				step(c)
			}
			assert.Equal(t, c.endpoints["e1"].used(), test.want)
		})
	}
}
