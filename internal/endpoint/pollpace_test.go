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

// An operator applies many settings in a row. Each is a new state at every
// daemon; when each made all followers poll all homes, the daemons' traffic
// for control grew by the product of changes and followed homes.
func TestSettingsChangesMakeNoPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 10 * time.Second
		net := newFakeNet(t)
		home, other := pair(t, net, "e1")
		defer home.stop()
		defer other.stop()
		polled := &polledHome{Home: home.home}
		net.serve(t, home.rpcAddress(), polled)

		for range span / (100 * time.Millisecond) {
			other.see(other.source.State().View)
			time.Sleep(100 * time.Millisecond)
		}
		most := int32(span/pollEvery) + 1
		assert.Assert(t, polled.polls.Load() <= most, "%d polls in %v, at most %d", polled.polls.Load(), span, most)
		assert.Assert(t, polled.polls.Load() >= most-2)

		// A new view is polled at once, and not only when the next poll is due.
		time.Sleep(pollEvery / 2)
		before := polled.polls.Load()
		view := other.source.State().View
		view.Number++
		other.see(view)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, polled.polls.Load(), before+1)
	})
}
