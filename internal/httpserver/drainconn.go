package httpserver

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// drainConn is a connection that its server may release: it then ends when it has no request. The
// goroutine that reads decides so, since it alone knows that it has read nothing.
type drainConn struct {
	net.Conn
	opened time.Time

	mu       sync.Mutex // guards the fields below
	used     bool       // a request has ended
	awaiting bool       // nothing of the next request has been read
	released bool
	deadline time.Time // for reads, as the HTTP server has set it
}

// drainListener wraps each accepted connection in a drainConn.
type drainListener struct {
	net.Listener
	server *Server
	close  func() error
}

func newDrainListener(l net.Listener, s *Server) *drainListener {
	return &drainListener{Listener: l, server: s, close: sync.OnceValue(l.Close)}
}

// Close implements net.Listener. The drain and the HTTP server both close the listener.
func (l *drainListener) Close() error { return l.close() }

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &drainConn{Conn: accepted, opened: time.Now(), awaiting: true}
	l.server.add(c)
	return c, nil
}

// drainConnOf returns the drainConn that is a connection of a Server, or lies below it.
func drainConnOf(c net.Conn) *drainConn {
	if overTLS, ok := c.(*tls.Conn); ok {
		c = overTLS.NetConn()
	}
	return c.(*drainConn)
}

// Read implements net.Conn. It returns io.EOF on a released connection on which nothing has
// arrived.
func (c *drainConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.beginRequest()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.isReleased() {
			return n, err
		}
		if !isReadable(c.Conn) {
			return 0, io.EOF
		}
		c.beginRequest()
	}
}

// SetReadDeadline implements net.Conn. On a released connection it holds from the next request on.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.released {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// awaitRequest tells that a request has ended.
func (c *drainConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.awaiting = true, true
}

// beginRequest tells that something of a request has arrived.
func (c *drainConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	if c.released {
		c.released = false
		_ = c.Conn.SetReadDeadline(c.deadline) // the next read fails as well
	}
}

// releaseInTime releases the connection, a new one when its first request has had its time.
func (c *drainConn) releaseInTime() {
	c.mu.Lock()
	used := c.used
	c.mu.Unlock()
	left := firstRequestTimeout - time.Since(c.opened)
	if used || left <= 0 {
		c.release()
		return
	}
	time.AfterFunc(left, c.release)
}

// release has the connection end, unless a request has arrived.
func (c *drainConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting {
		return
	}
	c.released = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read that waits; fails only if the connection has ended
}

func (c *drainConn) isReleased() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// CloseWrite is that of net.TCPConn.
func (c *drainConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *drainConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// isReadable reports whether a connection has bytes, or its end, that weren't read, or a listener
// connections that weren't accepted. It is false for what is no socket.
func isReadable(socket any) bool {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false // it is closed
	}
	state := []unix.PollFd{{Events: unix.POLLIN}}
	err = raw.Control(func(fd uintptr) {
		state[0].Fd = int32(fd)
		for _, pollErr := unix.Poll(state, 0); errors.Is(pollErr, unix.EINTR); _, pollErr = unix.Poll(state, 0) {
		}
	})
	return err == nil && state[0].Revents != 0
}
