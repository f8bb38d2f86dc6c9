package e2e_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// direction is one direction between two daemons, by their IP addresses.
type direction struct{ from, to string }

// links forwards all calls between daemons and can cut each direction
// silently: connections stay open and bytes are dropped, as in a network
// partition.
type links struct {
	mu    sync.Mutex
	cut   map[direction]bool
	conns map[net.Conn]struct{}
}

func newLinks() *links {
	return &links{cut: map[direction]bool{}, conns: map[net.Conn]struct{}{}}
}

// forward listens at address and forwards connections to target, whose IP address
// identifies the daemon.
func (l *links) forward(t *testing.T, address, target string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = listener.Close()
		l.closeAll()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.proxyConnection(conn, target)
		}
	}()
}

func (l *links) proxyConnection(caller net.Conn, target string) {
	l.track(caller)
	callee, err := net.Dial("tcp", target)
	if err != nil {
		l.closeConnection(caller)
		return
	}
	l.track(callee)
	from, to := hostOf(caller.RemoteAddr().String()), hostOf(target)
	var both sync.WaitGroup
	both.Go(func() { l.copy(callee, caller, direction{from, to}) })
	both.Go(func() { l.copy(caller, callee, direction{to, from}) })
	both.Wait()
	l.closeConnection(caller)
	l.closeConnection(callee)
}

// copy forwards bytes in one direction. Once it has dropped bytes during a cut, it
// drops all later ones too, since the stream would have a gap.
func (l *links) copy(to io.WriteCloser, from io.Reader, way direction) {
	buffer := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.isCut(way) {
			broken = true
		}
		if n > 0 && !broken {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !broken {
				_ = to.Close()
			}
			return
		}
	}
}

func (l *links) isCut(way direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[way]
}

func (l *links) setCut(way direction, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[way] = cut
}

func (l *links) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *links) closeConnection(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
