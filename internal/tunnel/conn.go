package tunnel

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// maxPartBytes bounds the bytes of one part.
const maxPartBytes = 32 << 10

// Conn is a connection to an endpoint through a sibling. Deadlines aren't supported.
type Conn struct {
	stream  pb.DRPCTunnel_ConnectClient
	cancel  context.CancelFunc // ends the stream with its connection
	address tunnelAddress

	parts  chan []byte // received, in order; closed at the end
	closed chan struct{}
	once   sync.Once
	unread []byte        // of the last part; only Read uses it
	sent   atomic.Uint64 // bytes

	mu       sync.Mutex // guards the fields below
	end      error      // set before parts is closed
	ended    bool
	waiting  int // parts that were received and not read
	draining bool
}

var _ net.Conn = (*Conn)(nil)

func newConn(stream pb.DRPCTunnel_ConnectClient, cancel context.CancelFunc, address string) *Conn {
	c := &Conn{stream: stream, cancel: cancel, address: tunnelAddress(address), parts: make(chan []byte), closed: make(chan struct{})}
	go c.receive()
	return c
}

// receive receives parts until the tunnel ends.
func (c *Conn) receive() {
	defer close(c.parts)
	for {
		part, err := c.stream.Recv()
		switch {
		case err != nil:
			c.setEnd(errBroken)
			return
		case part.Draining:
			c.setDraining()
		case part.End:
			c.setEnd(c.endOf(part))
			return
		case len(part.Data) > 0 && !c.deliver(part.Data):
			return
		}
	}
}

// endOf returns how the endpoint's connection ended: regularly only if all bytes were written to it, as
// the kernel of the sibling tells of a reset once, perhaps to the writer.
func (c *Conn) endOf(part *pb.TunnelPart) error {
	if part.Written > 0 && part.Written < c.sent.Load() {
		return errBroken
	}
	return io.EOF
}

// deliver hands bytes to Read; it returns false if the connection was closed.
func (c *Conn) deliver(data []byte) bool {
	c.count(1)
	select {
	case c.parts <- data:
		c.count(-1)
		return true
	case <-c.closed:
		return false
	}
}

func (c *Conn) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
}

func (c *Conn) setEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end, c.ended = err, true
}

func (c *Conn) setDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Read implements net.Conn. It returns io.EOF only if the endpoint has closed its connection.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case data, ok := <-c.parts:
			if !ok {
				return 0, c.endError()
			}
			c.unread = data
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *Conn) endError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil || c.isClosed() {
		return net.ErrClosed
	}
	return c.end
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+maxPartBytes)]
		c.sent.Add(uint64(len(part)))
		if err := c.stream.Send(&pb.TunnelPart{Data: part}); err != nil {
			return written, errBroken
		}
		written += len(part)
	}
	return written, nil
}

// Reusable reports whether the connection may carry another request: it is open, no byte has
// arrived that was not read, and the sibling isn't stopping.
func (c *Conn) Reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && c.waiting == 0 && !c.draining && !c.isClosed()
}

// PeerClosed reports whether the connection has ended at the endpoint or on the way.
func (c *Conn) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *Conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		go func() {
			_ = c.stream.Close() // leaves the connection to the sibling for other calls if it can
			c.cancel()
		}()
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return tunnelAddress("") }

// RemoteAddr implements net.Conn. It returns the endpoint's address.
func (c *Conn) RemoteAddr() net.Addr { return c.address }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// tunnelAddress is the address of an endpoint, host:port.
type tunnelAddress string

// Network implements net.Addr.
func (tunnelAddress) Network() string { return "tunnel" }

// String implements net.Addr.
func (a tunnelAddress) String() string { return string(a) }
