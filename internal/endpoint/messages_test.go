package endpoint

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// lossyHome does what it is asked and loses so many of its replies.
type lossyHome struct {
	*Home
	lose atomic.Int32
}

var errReplyLost = errors.New("connection closed")

func (l *lossyHome) lost() bool { return l.lose.Add(-1) >= 0 }

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

// lossyPair is pair with a home that can lose replies.
func lossyPair(t *testing.T) (home, other *daemon, lossy *lossyHome) {
	net := newFakeNet(t)
	home, other = pair(t, net, "e1")
	lossy = &lossyHome{Home: home.home}
	mux := drpcmux.New()
	assert.NilError(t, pb.DRPCRegisterHome(mux, lossy))
	net.mu.Lock()
	net.mux[home.source.self.RPCAddress] = mux
	net.mu.Unlock()
	return home, other, lossy
}

func (d *daemon) used(id string) (n int) {
	d.home.step(func(c *core, _ time.Time) { n = c.endpoints[fleet.EndpointID(id)].used() })
	return n
}

// The reply to a take is lost: the home has given the slot, the entry doesn't
// know. The entry gives it back, though it never had it.
func TestReplyToATakeIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, other, lossy := lossyPair(t)
		defer home.stop()
		defer other.stop()
		home.beat(announcement("e1", 1), 1)
		time.Sleep(pollEvery + 10*time.Millisecond)
		lossy.lose.Store(1)
		grant, refusal, err := other.client.Take(t.Context(), take("e1", "x", 0))
		assert.Assert(t, err != nil && grant == nil && refusal == nil)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, home.used("e1"), 0)
		assert.Assert(t, !other.client.Running("x"))
	})
}

// The reply to a release is lost several times: it is sent again until it is
// confirmed, and a slot that was taken anew meanwhile isn't freed by a repeat.
func TestReplyToAReleaseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, other, lossy := lossyPair(t)
		defer home.stop()
		defer other.stop()
		home.beat(announcement("e1", 1), 1)
		time.Sleep(pollEvery + 10*time.Millisecond)
		grant, _, err := other.client.Take(t.Context(), take("e1", "x", 0))
		assert.NilError(t, err)
		lossy.lose.Store(4)
		other.client.Give(Release{Grant: *grant, Reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED})
		other.client.Give(Release{Grant: *grant, Reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED})
		synctest.Wait()
		next, _, err := home.client.Take(t.Context(), take("e1", "y", 0))
		assert.NilError(t, err)
		assert.Assert(t, next != nil)
		time.Sleep(time.Second)
		assert.Equal(t, home.used("e1"), 1)
		assert.Assert(t, lossy.lose.Load() < 0, "the release must have been repeated until confirmed")
	})
}

// Messages about one attempt arrive late, twice and crossed; whatever their
// order, a slot that was given back is free, and no other's is touched.
func TestCrossedMessages(t *testing.T) {
	grant := func(c *core) { c.grant(epoch, askFor("x", epoch)) }
	release := func(c *core) {
		giveBack(c, epoch, "x", pb.ReleaseReason_RELEASE_REASON_COMPLETED, fleet.Fingerprint{})
	}
	other := func(c *core) { c.grant(epoch, askFor("y", epoch)) }
	stranger := func(c *core) {
		c.release(epoch, releaseAsk{endpoint: "e1", key: holdKey{"x", fleet.RoleDecode}, owner: fleet.Owner{Instance: "owner", Incarnation: 7}})
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
			c := soleHome(t, 2, guards{})
			for _, step := range test.steps {
				step(c)
			}
			assert.Equal(t, c.endpoints["e1"].used(), test.want)
		})
	}
}
