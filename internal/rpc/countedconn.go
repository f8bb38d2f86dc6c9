package rpc

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// countedConn counts the bytes of a connection below TLS.
type countedConn struct {
	net.Conn
	peer     string // its address
	received atomic.Uint64
	sent     atomic.Uint64
	transfer atomic.Pointer[Transfer] // of the current call
	held     callHold
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	c.transfer.Load().RecordReceived(n)
	if holdErr := c.held.add(n); holdErr != nil {
		return n, holdErr
	}
	return n, err
}

// maxWriteBytes bounds one write to the network, and so the bytes between two
// progress updates of a Transfer.
const maxWriteBytes = 64 << 10

// Write implements net.Conn. It splits a large message into several writes, so
// that a Transfer sees progress on a slow link.
func (c *countedConn) Write(b []byte) (written int, err error) {
	for first := true; first || len(b) > 0 && err == nil; first = false {
		var n int
		n, err = c.Conn.Write(b[:min(len(b), maxWriteBytes)])
		b = b[n:]
		written += n
		c.sent.Add(uint64(n))
		c.transfer.Load().RecordSent(n)
	}
	return written, err
}

// takeCounts returns the byte counts since its last call and resets them. A
// connection carries one call at a time, so the bytes since the previous call
// belong to the one that ends. At a server the last few bytes of a response are
// counted for the connection's next call, and the handshake for its first.
func (c *countedConn) takeCounts() (received, sent uint64) {
	return c.received.Swap(0), c.sent.Swap(0)
}

// measuredConn adds the bytes of each call to the metrics.
type measuredConn struct {
	*drpcconn.Conn
	counted *countedConn
	metrics *Metrics
	reads   *readlimit.Guard // nil: no bound on their memory
}

// Invoke implements drpc.Conn.
func (c measuredConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	defer c.metrics.recordCall(sideClient, rpc, c.counted)
	c.counted.transfer.Store(TransferFromContext(ctx))
	c.counted.held.begin(c.reads, c.counted.peer)
	defer c.counted.held.end()
	return c.Conn.Invoke(ctx, rpc, encoding, in, out)
}

// countedListener wraps each accepted connection in a countedConn.
type countedListener struct {
	net.Listener
	reads *readlimit.Guard // nil: no bound on their memory
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: accepted, peer: accepted.RemoteAddr().String()}
	counted.held.begin(l.reads, counted.peer)
	return counted, nil
}
