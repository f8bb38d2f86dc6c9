package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The sizes of a connection's buffers, bytes. A body beyond writeAhead is
// written beside the reading, since an endpoint may answer before it has read
// it all.
const (
	readBuffer = 4 << 10
	writeAhead = 8 << 10
)

// mostStrays bounds the answers to earlier requests that are passed over.
const mostStrays = 3

// errStray is the cause of a Failure where no answer belonged to the request.
var errStray = errors.New("the answer belongs to another request")

// conn carries one request at a time.
type conn struct {
	raw       net.Conn
	reader    *bufio.Reader
	address   string
	tag       string // of the newest request
	served    bool   // an earlier request was answered
	idleUntil time.Time
	broken    atomic.Bool
	openedAt  time.Time
	closed    func()     // called when it is closed, once; nil for nothing
	written   chan error // of a body that is written beside the reading; nil if none
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address}
}

func (c *conn) close() {
	if c.broken.Swap(true) {
		return
	}
	_ = c.raw.Close() // nothing more is expected of it
	if c.closed != nil {
		c.closed()
	}
}

// hasEnded tells whether the other end has closed or reset the connection. It may be asked
// while the connection is in use: no byte is taken from it.
func (c *conn) hasEnded() bool {
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || n <= 0 && !isAgain(peekErr)
}

func isAgain(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}

// quiet tells whether an idle connection is open and holds no bytes. Surplus
// bytes belong to no request; the next one would take them for its answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), one[:])
		return true
	})
	return err == nil && n <= 0 && isAgain(readErr)
}

// exchange sends a request and reads the head of its answer. When ctx ends the
// connection is closed, which tells the endpoint to stop its work.
func (c *conn) exchange(ctx context.Context, r *Request) (*Response, error) {
	reused := c.served
	c.tag = r.Tag
	stop := context.AfterFunc(ctx, c.close)
	if err := c.write(r); err != nil {
		stop()
		c.close()
		return nil, &Failure{Sent: true, Reused: reused, Step: "write", Cause: err}
	}
	head, err := c.readHead(r)
	if err != nil {
		stop()
		c.close()
		step := "read"
		if errors.Is(err, errStray) {
			step = "mismatch"
		}
		return nil, &Failure{Sent: true, Reused: reused, Step: step, Cause: cause(ctx, err)}
	}
	c.served = true
	return &Response{Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, conn: c, body: head.Body, closes: head.Close, stop: stop}, nil
}

// cause prefers the reason why ctx ended to the error that its end brought about.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), writeAhead))
	if err := r.appendHead(&b); err != nil {
		return err
	}
	c.written = nil
	if len(r.Body) <= writeAhead {
		b.Write(r.Body)
		_, err := c.raw.Write(b.Bytes())
		return err
	}
	if _, err := c.raw.Write(b.Bytes()); err != nil {
		return err
	}
	c.written = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.raw.Write(r.Body)
		done <- err
	}(c.written)
	return nil
}

// readHead reads the head of the answer that belongs to r.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for strays := 0; strays <= mostStrays; {
		head, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if r.Matches == nil || r.Matches(head.StatusCode, head.Header) {
			return head, nil
		}
		strays++
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

// bodySent tells whether the whole body of the newest request was written.
func (c *conn) bodySent() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	default:
		return false
	}
}

// idleLimit reads how long the endpoint keeps the connection, from its
// Keep-Alive header; 0 when it doesn't say.
func idleLimit(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
