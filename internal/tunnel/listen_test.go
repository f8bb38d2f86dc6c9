package tunnel

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestListenServesOtherEntriesUntilItsContextEnds(t *testing.T) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := free.Addr().String()
	assert.NilError(t, free.Close())
	server := NewServer(ServerOptions{Knows: func(string) bool { return true }, Reachability: links{hears: true}, Dial: dialDirect})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Listen(ctx, ListenOptions{Address: address}) }()
	e := newEndpoint(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := newClient(t, &sibling{address: address}).Dial(t.Context(), e.address())
		if err != nil {
			return poll.Continue("no tunnel: %v", err)
		}
		_ = conn.Close()
		return poll.Success()
	})
	cancel()
	assert.NilError(t, <-ended)
}

// Guards against an entry that ends, with the requests of its own callers, since it can't
// serve other entries.
func TestEntryRunsOnWithoutListenerForOthers(t *testing.T) {
	taken := newEndpoint(t)
	server := NewServer(ServerOptions{})
	assert.NilError(t, server.Listen(t.Context(), ListenOptions{Address: taken.address()}))
	assert.NilError(t, server.Listen(t.Context(), ListenOptions{}))
}
