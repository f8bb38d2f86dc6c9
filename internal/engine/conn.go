package engine

import (
	"crypto/tls"
	"net"
	"sync"
)

// guardedConn counts the writes that have begun, so that a failed request is
// known to have left nothing only when that is certain.
//
// Failure: http.Transport may return an error, say for an ended context, while
// its writing goroutine still is to write the request. Taking "no byte was
// written yet" for "not sent" would let a second try run beside the first.
// seal and Write hold the same mutex: once seal has found no write, none can
// begin.
type guardedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed error
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *guardedConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed != nil {
		return c.sealed
	}
	c.writes++
	return nil
}

func (c *guardedConn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids all writes when none has begun since mark, and tells whether
// that was so.
func (c *guardedConn) seal(mark uint64, cause error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return false
	}
	c.sealed = cause
	return true
}

// guardedFrom finds the guardedConn below a transport's connection; nil when
// there is none.
func guardedFrom(conn net.Conn) *guardedConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	g, _ := conn.(*guardedConn)
	return g
}
