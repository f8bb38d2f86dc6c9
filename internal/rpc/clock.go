package rpc

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
)

// Clock is the daemon's logical clock. Its stamp is sent with each call so that
// events of different daemons can be ordered causally.
type Clock interface {
	Stamp() string
	ObserveText(stamp string)
}

const stampKey = "hlc"

type stampedConn struct {
	drpc.Conn
	clock Clock
}

// Invoke implements drpc.Conn.
func (c stampedConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(c.stamp(ctx), rpc, encoding, in, out)
}

// NewStream implements drpc.Conn.
func (c stampedConn) NewStream(ctx context.Context, rpc string, encoding drpc.Encoding) (drpc.Stream, error) {
	return c.Conn.NewStream(c.stamp(ctx), rpc, encoding)
}

func (c stampedConn) stamp(ctx context.Context) context.Context {
	return drpcmetadata.Add(ctx, stampKey, c.clock.Stamp())
}

type observingHandler struct {
	next  drpc.Handler
	clock Clock
}

// HandleRPC implements drpc.Handler.
func (h observingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if h.clock != nil {
		h.observe(stream.Context())
	}
	return h.next.HandleRPC(stream, rpc)
}

func (h observingHandler) observe(ctx context.Context) {
	metadata, ok := drpcmetadata.Get(ctx)
	if !ok {
		return
	}
	if stamp := metadata[stampKey]; stamp != "" {
		h.clock.ObserveText(stamp)
	}
}
