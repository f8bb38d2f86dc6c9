package reachability

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// network is what an entry's connections meet.
type network struct {
	mu      sync.Mutex
	direct  error // of direct connections; errHangs: no answer
	relay   error // of connections through the relay
	directs int
	relays  int
}

var (
	errHangs   = errors.New("hangs")
	errDown    = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	errNoRelay = errors.New("no relay")
)

func (n *network) set(direct, relay error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct, n.relay = direct, relay
}

func (n *network) dialDirect(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.directs++
	err := n.direct
	n.mu.Unlock()
	if errors.Is(err, errHangs) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return namedConn{name: "direct"}, nil
}

// Dial implements Relay.
func (n *network) Dial(context.Context, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays++
	if n.relay != nil {
		return nil, n.relay
	}
	return namedConn{name: "relayed"}, nil
}

// IsEndpointFailure implements Relay.
func (n *network) IsEndpointFailure(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (n *network) counts() (directs, relays int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directs, n.relays
}

type namedConn struct {
	net.Conn
	name string
}

func (namedConn) Close() error { return nil }

type dialerFixture struct {
	t       *testing.T
	network *network
	dialer  Dialer
}

func withDialer(t *testing.T, run func(f *dialerFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		run(&dialerFixture{t: t, network: n, dialer: Dialer{Tracker: New(Options{}), Direct: n.dialDirect, Relay: n}})
		time.Sleep(relayAfter) // until the last probe has ended
	})
}

// dial dials within a second and returns the way of the connection, and how long it took.
func (f *dialerFixture) dial(address string) (way string, took time.Duration, err error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	began := time.Now()
	conn, over, err := f.dialer.Dial(ctx, address)
	if err != nil {
		return "", time.Since(began), err
	}
	way = conn.(namedConn).name
	assert.Equal(f.t, over != nil, way == "direct")
	return way, time.Since(began), nil
}

func (f *dialerFixture) wantWay(address, want string, atMost time.Duration) {
	f.t.Helper()
	way, took, err := f.dial(address)
	assert.NilError(f.t, err)
	assert.Equal(f.t, way, want)
	assert.Assert(f.t, took <= atMost, "took %s", took)
}

func TestWorkingLinkNeedsNoRelay(t *testing.T) {
	withDialer(t, func(f *dialerFixture) {
		for range 3 {
			f.wantWay("a:1", "direct", 0)
		}
		_, relays := f.network.counts()
		assert.Equal(t, relays, 0)
	})
}

// Guards against callers of an entry that is cut off: new connections to endpoints get no
// answer, or are refused.
func TestLostLinkIsRelayed(t *testing.T) {
	for name, loss := range map[string]error{"no answer": errHangs, "refused": errDown} {
		t.Run(name, func(t *testing.T) {
			withDialer(t, func(f *dialerFixture) {
				f.network.set(loss, nil)
				f.wantWay("a:1", "relayed", relayAfter)
				f.wantWay("a:1", "relayed", 0)
				f.wantWay("a:1", "relayed", 0)
			})
		})
	}
}

// Guards against a request that waits for an endpoint that no other request was sent to: the
// entry has lost its links to all.
func TestUntriedLinksOfACutAreRelayed(t *testing.T) {
	withDialer(t, func(f *dialerFixture) {
		f.wantWay("c:1", "direct", 0)
		time.Sleep(time.Second)
		f.network.set(errHangs, nil)
		f.wantWay("a:1", "relayed", relayAfter)
		f.wantWay("b:1", "relayed", relayAfter)
		f.wantWay("c:1", "relayed", 0)
		f.wantWay("d:1", "relayed", 0)
	})
}

// Guards against relayed requests after the links are back, and against direct connections
// that are tried with each request while they are not.
func TestLinksAreProbed(t *testing.T) {
	withDialer(t, func(f *dialerFixture) {
		f.network.set(errHangs, nil)
		for range 100 {
			_, _, err := f.dial("a:1")
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		directs, relays := f.network.counts()
		assert.Equal(t, relays, 100)
		assert.Assert(t, directs <= 7, "%d direct connections tried in 5 s", directs)

		f.network.set(nil, nil)
		time.Sleep(probeInterval)
		f.wantWay("a:1", "relayed", 0)
		synctest.Wait()
		f.wantWay("a:1", "direct", 0)
	})
}

// Guards against asking siblings again and again for an endpoint that has ended.
func TestEndedEndpoint(t *testing.T) {
	withDialer(t, func(f *dialerFixture) {
		f.network.set(errDown, errDown)
		for range 20 {
			_, took, err := f.dial("a:1")
			assert.ErrorIs(t, err, syscall.ECONNREFUSED)
			assert.Equal(t, took, time.Duration(0))
			time.Sleep(40 * time.Millisecond)
		}
		_, relays := f.network.counts()
		assert.Equal(t, relays, 1)

		f.network.set(errDown, nil) // it has started again, but the direct way is closed
		time.Sleep(probeInterval)
		f.wantWay("a:1", "relayed", 0)
		f.dialer.AskAgain = true
		f.network.set(errDown, errDown)
		_, _, err := f.dial("a:1")
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
}

// Guards against an entry that serves nobody as no sibling can be had, while its own link
// works again.
func TestWithoutRelayTheDirectWayIsTried(t *testing.T) {
	withDialer(t, func(f *dialerFixture) {
		f.network.set(errHangs, errNoRelay)
		_, took, err := f.dial("a:1")
		assert.Assert(t, err != nil)
		assert.Equal(t, took, relayAfter)
		f.network.set(nil, errNoRelay)
		f.wantWay("a:1", "direct", 0)
	})
}

// Guards against a link that counts as lost since a request had little time left.
func TestShortDialShowsNothing(t *testing.T) {
	withDialer(t, func(f *dialerFixture) {
		f.network.set(errHangs, nil)
		ctx, cancel := context.WithTimeout(f.t.Context(), minUnanswered/2)
		defer cancel()
		_, _, err := f.dialer.Dial(ctx, "a:1")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, f.dialer.Tracker.Link("a:1").Loss(), NotLost)
	})
}
