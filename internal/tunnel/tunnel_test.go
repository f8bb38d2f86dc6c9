package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// sibling is an entry that opens connections for others.
type sibling struct {
	server  *Server
	address string
	kill    context.CancelFunc
}

// endpoint is a server whose connections the test handles.
type endpoint struct {
	listener net.Listener
	accepted chan net.Conn
}

func newEndpoint(t testing.TB) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{listener: listener, accepted: make(chan net.Conn, 300)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.accepted <- conn
		}
	}()
	return e
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

func dialDirect(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}

func newSibling(t testing.TB, change func(*ServerOptions)) *sibling {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	options := ServerOptions{Knows: func(string) bool { return true }, Reachability: links{hears: true}, Dial: dialDirect}
	if change != nil {
		change(&options)
	}
	s := &sibling{server: NewServer(options), address: listener.Addr().String()}
	server := rpc.NewServer(nil, nil, logging.Part{})
	assert.NilError(t, pb.DRPCRegisterTunnel(server.Mux, s.server))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, listener) }) // returns nil when ctx ends
	s.kill = func() { cancel(); running.Wait() }
	t.Cleanup(s.kill)
	return s
}

// links are the links of a sibling to endpoints.
type links struct{ cutOff, hears, lost bool }

func (l links) CutOff() bool { return l.cutOff }

func (l links) Unanswered(string) bool { return l.lost }

func (l links) HeardSince(time.Time) bool { return l.hears }

type siblings []*sibling

func (s siblings) Siblings(context.Context) []string {
	var list []string
	for _, one := range s {
		list = append(list, one.address)
	}
	return list
}

func newClient(t testing.TB, all ...*sibling) *Client {
	t.Helper()
	pool := rpc.NewPool(nil, nil)
	t.Cleanup(func() { _ = pool.Close() })
	return NewClient(ClientOptions{Dialer: pool, Directory: siblings(all), Shuffle: func(int, func(i, j int)) {}})
}

// open opens a tunnel and returns both its ends.
func open(t *testing.T, c *Client, e *endpoint) (*Conn, net.Conn) {
	t.Helper()
	conn, err := c.Dial(t.Context(), e.address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	at := <-e.accepted
	t.Cleanup(func() { _ = at.Close() })
	return conn.(*Conn), at
}

func TestBytesPassUnchanged(t *testing.T) {
	e := newEndpoint(t)
	conn, at := open(t, newClient(t, newSibling(t, nil)), e)
	long := strings.Repeat("0123456789", maxPartBytes/4)
	go func() { _, _ = io.WriteString(conn, long+"\n") }()
	got, err := bufio.NewReader(at).ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, got == long+"\n")
	go func() {
		_, _ = io.WriteString(at, long)
		_ = at.Close()
	}()
	back, err := io.ReadAll(conn)
	assert.NilError(t, err, "the endpoint closed its connection")
	assert.Assert(t, string(back) == long)
}

// Guards against an answer that was cut and looks whole: only the end of the endpoint's own
// connection is a regular end.
func TestBrokenTunnelIsNoEnd(t *testing.T) {
	for name, breakOff := range map[string]func(s *sibling, at net.Conn){
		"the endpoint resets": func(_ *sibling, at net.Conn) {
			_ = at.(*net.TCPConn).SetLinger(0)
			_ = at.Close()
		},
		"the sibling ends": func(s *sibling, _ net.Conn) { s.kill() },
	} {
		t.Run(name, func(t *testing.T) {
			e, s := newEndpoint(t), newSibling(t, nil)
			conn, at := open(t, newClient(t, s), e)
			_, err := io.WriteString(at, "ha")
			assert.NilError(t, err)
			part := make([]byte, 2)
			_, err = io.ReadFull(conn, part)
			assert.NilError(t, err)
			breakOff(s, at)
			_, err = io.ReadAll(conn)
			assert.ErrorIs(t, err, errBroken)
		})
	}
}

// Guards against an endpoint that works on for a caller who has left.
func TestClosedTunnelClosesTheConnection(t *testing.T) {
	e := newEndpoint(t)
	conn, at := open(t, newClient(t, newSibling(t, nil)), e)
	assert.NilError(t, conn.Close())
	_, err := at.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against an endpoint that counts as unreachable although another sibling reaches it,
// and against asking many siblings for one that has ended.
func TestSiblingsThatDontConnect(t *testing.T) {
	e := newEndpoint(t)
	ended := newEndpoint(t)
	assert.NilError(t, ended.listener.Close())
	cutOff := newSibling(t, func(o *ServerOptions) { o.Reachability = links{cutOff: true} })
	unaware := newSibling(t, func(o *ServerOptions) { o.Knows = func(string) bool { return false } })
	lost := newSibling(t, func(o *ServerOptions) { o.Reachability = links{hears: true, lost: true} })
	good := newSibling(t, nil)
	killed := newSibling(t, nil)
	killed.kill()

	for name, bad := range map[string]*sibling{"cut off": cutOff, "without a link": lost, "unaware": unaware, "killed": killed} {
		t.Run(name, func(t *testing.T) { open(t, newClient(t, bad, good), e) })
	}
	_, err := newClient(t, cutOff, unaware).Dial(t.Context(), e.address())
	assert.ErrorIs(t, err, errUnavailable)
	_, err = newClient(t).Dial(t.Context(), e.address())
	assert.ErrorIs(t, err, ErrNoSibling)
	_, err = newClient(t, good).Dial(t.Context(), ended.address())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// Guards against an endpoint that counts as unreachable since a sibling that has just been cut
// off as well does not reach it.
func TestUnansweredEndpoint(t *testing.T) {
	unanswered := func(context.Context, string) (net.Conn, error) { return nil, syscall.ETIMEDOUT }
	hears := newSibling(t, func(o *ServerOptions) { o.Dial = unanswered })
	hearsNone := newSibling(t, func(o *ServerOptions) { o.Dial, o.Reachability = unanswered, links{} })
	client := newClient(t, hears)
	_, err := client.Dial(t.Context(), "127.0.0.1:1")
	assert.ErrorIs(t, err, syscall.ETIMEDOUT)
	assert.Assert(t, client.IsEndpointFailure(err))
	client = newClient(t, hearsNone)
	_, err = client.Dial(t.Context(), "127.0.0.1:1")
	assert.Assert(t, !client.IsEndpointFailure(err))
	open(t, newClient(t, hearsNone, newSibling(t, nil)), newEndpoint(t))
}

// Guards against a sibling whose own callers are not served, since it carries too much for
// others.
func TestTunnelsAreBounded(t *testing.T) {
	e, s := newEndpoint(t), newSibling(t, nil)
	client := newClient(t, s)
	var last net.Conn
	for range maxTunnels {
		last, _ = open(t, client, e)
	}
	_, err := client.Dial(t.Context(), e.address())
	assert.ErrorIs(t, err, errUnavailable)
	assert.NilError(t, last.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := newClient(t, s).Dial(t.Context(), e.address())
		if err != nil {
			return poll.Continue("no tunnel: %v", err)
		}
		_ = conn.Close()
		return poll.Success()
	})
}

// Guards against a planned stop that cuts off requests of a sibling, or takes another one.
func TestStoppingSibling(t *testing.T) {
	e, s := newEndpoint(t), newSibling(t, nil)
	client := newClient(t, s)
	conn, at := open(t, client, e)
	assert.Assert(t, conn.Reusable())
	s.server.Drain()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conn.Reusable() {
			return poll.Continue("the word has not arrived")
		}
		return poll.Success()
	})
	_, err := client.Dial(t.Context(), e.address())
	assert.ErrorIs(t, err, errUnavailable)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	s.server.Wait(ended) // a tunnel is active
	_, err = io.WriteString(at, "done")
	assert.NilError(t, err)
	_ = at.Close()
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "done")
	s.server.Wait(t.Context())
}

// Guards against a request on a tunnel whose endpoint has closed its connection, or has sent
// more than it was asked for.
func TestReusableTunnel(t *testing.T) {
	for name, change := range map[string]func(at net.Conn){
		"closed":        func(at net.Conn) { _ = at.Close() },
		"surplus bytes": func(at net.Conn) { _, _ = io.WriteString(at, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			conn, at := open(t, newClient(t, newSibling(t, nil)), newEndpoint(t))
			assert.Assert(t, conn.Reusable())
			change(at)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if conn.Reusable() {
					return poll.Continue("it has not arrived")
				}
				return poll.Success()
			})
		})
	}
}

// Guards against a request that waits for a frozen sibling, and against bytes that reach the
// endpoint although its dial failed.
func TestFrozenSibling(t *testing.T) {
	e := newEndpoint(t)
	frozen := newSibling(t, func(o *ServerOptions) {
		o.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			time.Sleep(2 * openTimeout)
			return nil, errors.New("too late")
		}
	})
	_, err := newClient(t, frozen).Dial(t.Context(), e.address())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, len(e.accepted), 0)
	open(t, newClient(t, frozen, newSibling(t, nil)), e)
}

// Guards against a reset that the sibling's writer alone is told of, while its reader sees a regular
// end: a part of an answer would pass as all of it.
func TestResetUnderAnUploadIsNoRegularEnd(t *testing.T) {
	e := newEndpoint(t)
	by := newSibling(t, nil)
	regular := 0
	for range 20 {
		conn, at := open(t, newClient(t, by), e)
		uploaded := make(chan struct{})
		go func() {
			defer close(uploaded)
			_, _ = conn.Write(make([]byte, 8<<20)) // fails once the endpoint's connection has ended
		}()
		_, err := io.ReadFull(at, make([]byte, 100))
		assert.NilError(t, err)
		_, err = at.Write([]byte("part"))
		assert.NilError(t, err)
		assert.NilError(t, at.Close()) // resets, since there are unread bytes
		if _, err := io.ReadAll(conn); err == nil {
			regular++
		}
		assert.NilError(t, conn.Close())
		<-uploaded
	}
	assert.Equal(t, regular, 0, "of 20 resets passed for regular ends")
}
