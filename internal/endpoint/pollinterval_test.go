package endpoint

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// polledHome counts digest polls.
type polledHome struct {
	*Home
	polls atomic.Int32
}

func (p *polledHome) Digest(ctx context.Context, in *pb.DigestRequest) (*pb.DigestReply, error) {
	p.polls.Add(1)
	return p.Home.Digest(ctx, in)
}

// An operator applies many settings in a row, and each is a new state at every
// daemon. When each change made all followers poll all homes, the control traffic
// between daemons grew with the product of changes and followed homes.
func TestSettingsChangesCauseNoPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 10 * time.Second
		net := newFakeNet(t)
		home, other := startPair(t, net, "e1")
		defer home.stop()
		defer other.stop()
		polled := &polledHome{Home: home.home}
		net.serve(t, home.rpcAddress(), polled)

		for range span / (100 * time.Millisecond) {
			other.setView(other.source.State().View)
			time.Sleep(100 * time.Millisecond)
		}
		maxPolls := int32(span/minPollInterval) + 1
		assert.Assert(t, polled.polls.Load() <= maxPolls, "%d polls in %v, at most %d", polled.polls.Load(), span, maxPolls)
		assert.Assert(t, polled.polls.Load() >= maxPolls-2)

		// A new view causes a poll at once, not only when the next one is due.
		time.Sleep(minPollInterval / 2)
		before := polled.polls.Load()
		view := other.source.State().View
		view.Number++
		other.setView(view)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, polled.polls.Load(), before+1)
	})
}
