package e2e_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// direction is one way between two daemons, by their IP numbers.
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

// forward listens at address and passes connections on to target, whose IP
// number names the daemon behind.
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
			go l.carry(conn, target)
		}
	}()
}

func (l *links) carry(caller net.Conn, target string) {
	l.add(caller)
	callee, err := net.Dial("tcp", target)
	if err != nil {
		l.drop(caller)
		return
	}
	l.add(callee)
	from, to := hostOf(caller.RemoteAddr().String()), hostOf(target)
	var both sync.WaitGroup
	both.Go(func() { l.copy(callee, caller, direction{from, to}) })
	both.Go(func() { l.copy(caller, callee, direction{to, from}) })
	both.Wait()
	l.drop(caller)
	l.drop(callee)
}

// copy passes bytes on in one direction. What comes during a cut is lost, and
// the connection with it: after the cut the stream would have a gap.
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

func (l *links) set(way direction, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[way] = cut
}

func (l *links) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *links) drop(c net.Conn) {
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
