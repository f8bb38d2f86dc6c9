package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// endpointLinks are the links between daemons and endpoints, which can be cut for some daemons.
// While a link is cut, no packet of the daemon is answered, and nothing is sent to it.
type endpointLinks struct {
	t         *testing.T
	mu        sync.Mutex
	changed   *sync.Cond
	cut       map[string]bool // IP addresses of daemons
	listeners []*net.TCPListener
	conns     map[*net.TCPConn]bool
}

func newEndpointLinks(t *testing.T) *endpointLinks {
	l := &endpointLinks{t: t, conns: map[*net.TCPConn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	t.Cleanup(func() { l.setCut(nil) })
	return l
}

// forward returns an address that forwards to target.
func (l *endpointLinks) forward(target func() string) string {
	listener, err := testkit.ListenFilterable(l.t.Context(), "127.0.0.1:0")
	assert.NilError(l.t, err)
	l.t.Cleanup(func() { _ = listener.Close() })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, listener)
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go l.forwardConn(conn, target())
		}
	}()
	return listener.Addr().String()
}

func (l *endpointLinks) forwardConn(caller *net.TCPConn, target string) {
	defer func() { _ = caller.Close() }()
	callee, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.conns[caller] = true
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(callee, caller)
		_ = callee.Close()
	}()
	l.copyBack(caller, callee)
	l.mu.Lock()
	delete(l.conns, caller)
	l.mu.Unlock()
}

// copyBack forwards an endpoint's bytes, and its end, while the caller isn't cut off.
func (l *endpointLinks) copyBack(caller *net.TCPConn, callee net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := callee.Read(buffer)
		l.awaitLink(caller)
		if n > 0 {
			if _, err := caller.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *endpointLinks) awaitLink(caller *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut[hostOf(caller.RemoteAddr().String())] {
		l.changed.Wait()
	}
}

// setCut cuts the links of the daemons with these IP addresses, and restores all others.
func (l *endpointLinks) setCut(cut map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, listener := range l.listeners {
		_ = testkit.DropFrom(listener, cut) // fails only if the test has ended
	}
	for conn := range l.conns {
		_ = testkit.DropFrom(conn, cut) // fails only if the connection has ended
	}
	l.changed.Broadcast()
}

// addLinked starts an emulated endpoint behind links.
func (e *endpointSet) addLinked(t *testing.T, l *endpointLinks, id string, role fleet.EndpointRole) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	e.add(t, id, "a", role, func(o *standin.Options) {
		o.Listen = address
		o.Advertise = l.forward(func() string { return address })
	})
}

// Guards against an entry that has lost its links to all endpoints and refuses its callers,
// though the other entries reach them.
func TestEntryCutOffFromAllEndpoints(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	links := newEndpointLinks(t)
	e := &endpointSet{fleet: f}
	e.addLinked(t, links, "p", fleet.RolePrefill)
	e.addLinked(t, links, "d1", fleet.RoleDecode)
	e.addLinked(t, links, "d2", fleet.RoleDecode)
	e.addLinked(t, links, "s1", fleet.RolePlain)
	e.addLinked(t, links, "s2", fleet.RolePlain)
	entry := f.instances[0]
	served := func(n int, key string) error {
		for _, stream := range []bool{true, false} {
			a, err := sendCompletion(callContext(t), entry, request{prompt: fmt.Sprintf("Bale %d.", n), maxTokens: 20, stream: stream})
			if err != nil || !a.isComplete() {
				return fmt.Errorf("model request %d: %+v, %v", n, a, err)
			}
		}
		a, err := callService(callContext(t), entry, "/slips/1", key, markedBody(fmt.Sprint(key, n)))
		if err != nil || a.status != http.StatusOK {
			return fmt.Errorf("call %d: %+v, %v", n, a, err)
		}
		return nil
	}
	eventually(t, callTimeout, func() error { return served(0, "") })

	links.setCut(map[string]bool{entry.ip: true})
	eventually(t, callTimeout, func() error { return served(1, "") })
	for n := range 20 {
		assert.NilError(t, served(2+n, fmt.Sprint("key-", n)))
	}
	links.setCut(nil)
	time.Sleep(100 * time.Millisecond) // a request may cross the end of the cut
	for n := range 20 {
		assert.NilError(t, served(30+n, fmt.Sprint("key-healed-", n)))
	}
}
