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

// inLossyPair is inPair, with one slot and a home that loses replies.
func inLossyPair(t *testing.T, play func(t *testing.T, home, other *daemon, lossy *lossyHome)) {
	t.Helper()
	lossy := &lossyHome{}
	serve := func(h *Home) pb.DRPCHomeServer {
		lossy.Home = h
		return lossy
	}
	inServedPair(t, 1, serve, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		play(t, home, other, lossy)
	})
}

func (d *daemon) used(id string) (n int) {
	d.home.step(func(c *core, _ time.Time) { n = c.endpoints[fleet.EndpointID(id)].used() })
	return n
}

// The reply to a take is lost: the home has given the slot, the entry doesn't
// know. The entry gives it back, though it never had it.
func TestReplyToATakeIsLost(t *testing.T) {
	inLossyPair(t, func(t *testing.T, home, other *daemon, lossy *lossyHome) {
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
	inLossyPair(t, func(t *testing.T, home, other *daemon, lossy *lossyHome) {
		grant := other.mustTake(t, "x")
		lossy.lose.Store(4)
		other.finish(grant)
		other.finish(grant)
		synctest.Wait()
		home.mustTake(t, "y")
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
		finish(c, epoch, "x")
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
