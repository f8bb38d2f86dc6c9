package engine

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/reachability"
)

// guardedConn counts the writes that have begun, so that a failed request counts
// as not sent only when that is certain.
//
// Failure: http.Transport may return an error, say for an ended context, before
// its writing goroutine writes the request. If "no byte was written yet" counted
// as "not sent", a second send could run beside the first. seal and Write hold
// the same mutex: once seal has found no write, none can begin.
type guardedConn struct {
	net.Conn
	link     *reachability.Link     // of a direct connection; nil for a relayed one
	acks     *reachability.AckWatch // nil for a relayed one
	mu       sync.Mutex
	writes   uint64
	sealedBy error // returned by Write; nil: not sealed
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.link != nil {
		c.link.Heard(time.Now())
		c.acks.Stop()
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	if c.acks != nil {
		defer c.acks.Sent()
	}
	return c.Conn.Write(b)
}

func (c *guardedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealedBy != nil {
		return c.sealedBy
	}
	c.writes++
	return nil
}

func (c *guardedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all writes fail with cause, provided that none has begun since
// writeCount returned count, and reports whether it did.
func (c *guardedConn) seal(count uint64, cause error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.sealedBy = cause
	return true
}

// guardedConnOf returns the guardedConn that underlies a transport's connection;
// nil if there is none.
func guardedConnOf(conn net.Conn) *guardedConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	g, _ := conn.(*guardedConn)
	return g
}
