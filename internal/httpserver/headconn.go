package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// headConn accounts for the bytes of a connection that are read while the head of a request is
// incomplete: the server holds them until then.
type headConn struct {
	net.Conn
	reads *readlimit.Guard
	peer  string

	mu   sync.Mutex      // guards the fields below; while a handler runs, another goroutine reads
	held *readlimit.Hold // nil while no head is read
	read int64           // bytes of the current head
}

// Read implements net.Conn. If there is no memory for a head, it fails like a connection that
// was reset, so that the server closes it without a response: the request has not been read.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		return n, err
	}
	c.read += int64(n)
	if holdErr := c.held.Resize(c.read); holdErr != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: holdErr}
	}
	return n, err
}

// CloseWrite shuts down the sending side, which the server does before it closes a connection
// with unread bytes.
func (c *headConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *headConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *headConn) SyscallConn() (syscall.RawConn, error) { return rawConnOf(c.Conn) }

func (c *headConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Release()
	c.held, c.read = c.reads.Hold(c.peer, readlimit.Head), 0
}

func (c *headConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Release()
	c.held = nil
}

// headListener wraps each accepted connection in a headConn.
type headListener struct {
	net.Listener
	reads *readlimit.Guard
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: accepted, reads: l.reads, peer: hostOf(accepted.RemoteAddr().String())}, nil
}

// SyscallConn implements syscall.Conn.
func (l headListener) SyscallConn() (syscall.RawConn, error) { return rawConnOf(l.Listener) }

func rawConnOf(socket any) (syscall.RawConn, error) {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return source.SyscallConn()
}

// headConnKey is the key of a request's headConn in its context.
type headConnKey struct{}

func withHeadConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, headConnKey{}, c)
}

// beginHead begins a head when a connection is new or becomes idle.
func beginHead(c net.Conn, state http.ConnState) {
	conn, ok := c.(*headConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		conn.begin()
	case http.StateClosed:
		conn.end()
	}
}

// endHeads returns a handler whose requests' heads are complete.
func endHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(headConnKey{}).(*headConn); ok {
			conn.end()
		}
		next.ServeHTTP(w, r)
	})
}
