package rpc

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// countedConn counts the bytes below TLS.
type countedConn struct {
	net.Conn
	received atomic.Uint64
	sent     atomic.Uint64
	transfer atomic.Pointer[Transfer] // of the call that the connection carries
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	c.transfer.Load().Arrived(n)
	return n, err
}

// writePiece bounds what goes out between two notes of progress, bytes.
const writePiece = 64 << 10

// Write implements net.Conn. A large message goes out in pieces, so that a
// Transfer sees that a slow link takes it.
func (c *countedConn) Write(b []byte) (written int, err error) {
	for first := true; first || len(b) > 0 && err == nil; first = false {
		var n int
		n, err = c.Conn.Write(b[:min(len(b), writePiece)])
		b = b[n:]
		written += n
		c.sent.Add(uint64(n))
		c.transfer.Load().Sent(n)
	}
	return written, err
}

// take gives the bytes since the last take. A connection carries one call at
// a time, so what passed since the call before belongs to the one that ends;
// at a server the last few bytes of an answer go to the connection's next call,
// and the handshake to the first.
func (c *countedConn) take() (received, sent uint64) {
	return c.received.Swap(0), c.sent.Swap(0)
}

// measuredConn adds the bytes of each call to the metrics.
type measuredConn struct {
	*drpcconn.Conn
	counted *countedConn
	metrics *Metrics
}

// Invoke implements drpc.Conn.
func (c measuredConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	defer c.metrics.ended(sideClient, rpc, c.counted)
	c.counted.transfer.Store(TransferOf(ctx))
	return c.Conn.Invoke(ctx, rpc, encoding, in, out)
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: accepted}, nil
}
