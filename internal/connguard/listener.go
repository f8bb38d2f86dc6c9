package connguard

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener wraps each connection that there is room for.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. A connection without room is reset at once: nothing of it has been
// read.
func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		var c *Conn
		l.guard.ledger.retry(func() bool {
			c = l.guard.open(accepted)
			return c != nil
		})
		if c != nil {
			return c, nil
		}
		l.guard.record(errFull, accepted, Idle, 0)
		reset(accepted)
	}
}

// SyscallConn implements syscall.Conn.
func (l listener) SyscallConn() (syscall.RawConn, error) { return rawConnOf(l.Listener) }

// open returns the connection over an accepted one; nil if there is no room.
func (g *Guard) open(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, guard: g, aborted: make(chan struct{})}
	now := time.Now()
	c.meter.at = now
	c.account = g.ledger.Open(now, c.abort)
	if c.account == nil {
		return nil
	}
	c.limitTime(now, g.options.Limits.IdleTimeout)
	return c
}

// reset closes a connection and discards what it has not sent.
func reset(conn net.Conn) {
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // fails only if the connection has ended
	}
	_ = conn.Close()
}

// limitSocket bounds what the kernel holds for the connections of a listener, which take its options
// over, and how many of them wait to be accepted.
func limitSocket(l net.Listener, limits Limits) {
	raw, err := rawConnOf(l)
	if err != nil {
		return
	}
	// A platform without these options has its own bounds.
	_ = raw.Control(func(fd uintptr) {
		if limits.SocketBytes > 0 {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, limits.SocketBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, limits.SocketBytes)
		}
		if limits.Backlog > 0 {
			_ = unix.Listen(int(fd), limits.Backlog)
		}
	})
}

func rawConnOf(socket any) (syscall.RawConn, error) {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return source.SyscallConn()
}
