package backoff

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
)

var errDown = errors.New("down")

// dialer reaches all peers.
type dialer struct{}

func (dialer) Conn(context.Context, string) (drpc.Conn, error) { return nil, nil }

func newTestCaller() *Caller {
	return NewCaller(CallerOptions{
		Dialer: dialer{}, Shuffle: func(int, func(i, j int)) {}, Timeout: 40 * time.Millisecond, MinPause: time.Second, MaxPause: 4 * time.Second,
	})
}

// Guards against each request that waits for a peer that doesn't answer.
func TestFailedPeerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCaller()
		frozen := func(ctx context.Context, _ drpc.Conn) error { <-ctx.Done(); return ctx.Err() }
		began := time.Now()
		assert.ErrorIs(t, c.Call(t.Context(), "a", frozen), context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 40*time.Millisecond)
		answers := func(context.Context, drpc.Conn) error { return nil }
		assert.ErrorIs(t, c.Call(t.Context(), "a", answers), ErrSkipped)
		assert.NilError(t, c.Call(t.Context(), "b", answers))
		time.Sleep(time.Second)
		assert.NilError(t, c.Call(t.Context(), "a", answers))
	})
}

// Guards against skipping a peer since the request's own time was up.
func TestEndedRequestTellsNothing(t *testing.T) {
	c := newTestCaller()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, c.Call(ctx, "a", func(context.Context, drpc.Conn) error { return errDown }), errDown)
	assert.Assert(t, c.Available("a"))
}

func TestShuffledPeersAreACopy(t *testing.T) {
	peers := []string{"a", "b"}
	list := newTestCaller().Shuffled(peers)
	assert.DeepEqual(t, list, peers)
	list[0] = "c"
	assert.Equal(t, peers[0], "a")
}
