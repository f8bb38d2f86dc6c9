package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gate holds goroutines up, as a machine without processor time does.
type gate struct {
	mu     sync.Mutex // guards the fields below
	open   chan struct{}
	atGate chan struct{} // has an element for each goroutine that has come to the closed gate
}

func newGate() *gate {
	g := &gate{open: make(chan struct{}), atGate: make(chan struct{}, 100)}
	close(g.open)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
	default:
		g.atGate <- struct{}{}
		<-open
	}
}

// slowListener holds up accepts before they begin, and reads of its connections when they have ended.
type slowListener struct {
	net.Listener
	accepts, reads *gate
}

func (l slowListener) Accept() (net.Conn, error) {
	l.accepts.pass()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.reads}, nil
}

func (l slowListener) SyscallConn() (syscall.RawConn, error) { return rawConnOf(l.Listener) }

type slowConn struct {
	net.Conn
	reads *gate
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.reads.pass()
	return n, err
}

func (c slowConn) SyscallConn() (syscall.RawConn, error) { return rawConnOf(c.Conn) }

// drainTest is a server that answers each request with 200 and its path, or hangs on /hang.
type drainTest struct {
	server         *Server
	address        string
	accepts, reads *gate
	served         chan error // the result of Serve
	hang           chan struct{}
	busy           atomic.Bool // a request hangs
}

func startDrainTest(t *testing.T) *drainTest {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &drainTest{address: listener.Addr().String(), accepts: newGate(), reads: newGate(), served: make(chan error, 1), hang: make(chan struct{})}
	d.server = NewServer(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hang" {
			d.busy.Store(true)
			<-d.hang
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	go func() { d.served <- d.server.Serve(slowListener{listener, d.accepts, d.reads}) }()
	t.Cleanup(func() { _ = d.server.Close() })
	return d
}

// drain starts to drain the server, and returns when it has begun.
func (d *drainTest) drain(ctx context.Context) chan error {
	drained := make(chan error, 1)
	go func() { drained <- d.server.Drain(ctx) }()
	for !d.server.isDraining() {
		time.Sleep(time.Millisecond)
	}
	return drained
}

// awaitsRequest reports whether a request has ended on a connection and the next has not begun.
func (d *drainTest) awaitsRequest() bool {
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	for c := range d.server.conns {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.used && c.awaiting {
			return true
		}
	}
	return false
}

// giveTime gives connections more time for their first request than a slow machine takes.
func (d *drainTest) giveTime() {
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	for c := range d.server.conns {
		c.opened = time.Now().Add(time.Minute)
	}
}

// endsWithoutAnswer waits for the end of a connection.
func endsWithoutAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := conn.Read(make([]byte, 1))
	assert.Assert(t, n == 0 && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func sendPath(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	assert.NilError(t, err)
}

// readAnswer reads the answer to a request for a path, and reports whether it ends the connection.
func readAnswer(t *testing.T, conn net.Conn, path string) bool {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), path)
	return response.Close
}

// Guards against a request that is read after its server began to shut down, and gets no answer: by
// its caller's clock it may have been sent long before.
func TestDrainAnswersTheFirstRequestOfAConnection(t *testing.T) {
	d := startDrainTest(t)
	conn := dial(t, d.address)
	sendPath(t, conn, "/before")
	assert.Assert(t, !readAnswer(t, conn, "/before"))
	unused := dial(t, d.address)
	sendPath(t, conn, "/again") // after it the other connection has been accepted
	readAnswer(t, conn, "/again")
	d.reads.shut()
	late := dial(t, d.address)
	sendPath(t, late, "/late")
	<-d.reads.atGate // it has been read
	d.giveTime()
	drained := d.drain(t.Context())
	d.reads.release()
	assert.Assert(t, readAnswer(t, late, "/late"))
	sendPath(t, unused, "/unused")
	assert.Assert(t, readAnswer(t, unused, "/unused"))
	assert.NilError(t, <-drained)
	assert.NilError(t, <-d.served)
}

// Guards against a kept connection that is closed with a request on it that has arrived and was not
// read yet.
func TestDrainAnswersWhatHasArrivedOnAKeptConnection(t *testing.T) {
	d := startDrainTest(t)
	conn := dial(t, d.address)
	sendPath(t, conn, "/before")
	assert.Assert(t, !readAnswer(t, conn, "/before"))
	for !d.awaitsRequest() {
		time.Sleep(time.Millisecond)
	}
	d.reads.shut()
	drained := d.drain(t.Context())
	<-d.reads.atGate // its read was ended, with nothing read
	sendPath(t, conn, "/arrived")
	d.reads.release()
	assert.Assert(t, readAnswer(t, conn, "/arrived"))
	assert.NilError(t, <-drained)
}

// Guards against connections that the kernel has taken for a listener and resets when it is closed.
func TestDrainTakesConnectionsThatWait(t *testing.T) {
	d := startDrainTest(t)
	sendAndReadPath(t, d.address, "/before")
	d.accepts.shut()
	first := dial(t, d.address) // ends the accept that is under way
	<-d.accepts.atGate
	waiting := dial(t, d.address)
	sendPath(t, waiting, "/waiting")
	drained := d.drain(t.Context())
	d.accepts.release()
	assert.Assert(t, readAnswer(t, waiting, "/waiting"))
	endsWithoutAnswer(t, first) // it had sent nothing in firstRequestTimeout
	assert.NilError(t, <-drained)
	_, err := net.Dial("tcp4", d.address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
}

func sendAndReadPath(t *testing.T, address, path string) {
	t.Helper()
	conn := dial(t, address)
	sendPath(t, conn, path)
	readAnswer(t, conn, path)
}

// Guards against a drain that waits for connections without requests, or cuts responses while it
// has time.
func TestDrainWaitsForResponsesAlone(t *testing.T) {
	d := startDrainTest(t)
	idle, busy := dial(t, d.address), dial(t, d.address)
	sendPath(t, idle, "/idle")
	assert.Assert(t, !readAnswer(t, idle, "/idle"))
	sendPath(t, busy, "/hang")
	for !d.busy.Load() {
		time.Sleep(time.Millisecond)
	}
	drained := d.drain(t.Context())
	endsWithoutAnswer(t, idle)
	select {
	case err := <-drained:
		t.Fatal("the drain has ended before the response", err)
	default:
	}
	close(d.hang)
	readAnswer(t, busy, "/hang")
	assert.NilError(t, <-drained)
}

// Guards against a drain that goes on beyond its time.
func TestDrainEndsWithItsContext(t *testing.T) {
	d := startDrainTest(t)
	defer close(d.hang)
	busy := dial(t, d.address)
	sendPath(t, busy, "/hang")
	for !d.busy.Load() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, <-d.drain(ctx), context.DeadlineExceeded)
	endsWithoutAnswer(t, busy)
}
