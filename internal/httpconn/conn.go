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

	"golang.org/x/sys/unix"

	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
	"github.com/hyssopsail/hyssopsail/internal/responsehead"
)

// Buffer sizes of a connection. A body longer than maxInlineBodyBytes is written
// by a separate goroutine while the response is read, since an endpoint may
// respond before it has read the whole body.
const (
	readBufferBytes    = 4 << 10
	maxInlineBodyBytes = 8 << 10
)

// maxStrayResponses bounds how many responses to earlier requests are skipped.
const maxStrayResponses = 3

// errStrayResponse is the cause of a Failure when no response matched the request.
var errStrayResponse = errors.New("the answer belongs to another request")

// conn is a connection that carries one request at a time.
type conn struct {
	raw       net.Conn
	head      *headReader // between raw and reader
	reader    *bufio.Reader
	reads     *readlimit.Guard
	maxBody   int64 // bytes
	address   string
	acks      *reachability.AckWatch
	tag       string // of the latest request
	served    bool   // an earlier request got a response
	idleUntil time.Time
	isClosed  atomic.Bool
	openedAt  time.Time
	onClose   func()               // called once, when the connection is closed; may be nil
	upload    *responsehead.Upload // body that is written in the background; nil if none
}

// newConn returns a connection over a link, nil for a relayed one. suspect is called if bytes
// that are sent over it don't arrive.
func newConn(raw net.Conn, address string, over *reachability.Link, suspect func()) *conn {
	var reader io.Reader = raw
	if over != nil {
		reader = heardReader{raw, over}
	}
	head := &headReader{from: reader}
	return &conn{
		raw: raw, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), address: address,
		acks: reachability.NewAckWatch(raw, suspect),
	}
}

// relayedConn is a connection through a relay, which has no socket of its own to look at.
type relayedConn interface {
	net.Conn
	// Reusable reports whether another request may be sent over the connection.
	Reusable() bool
	// PeerClosed reports whether the connection has ended.
	PeerClosed() bool
}

func (c *conn) isRelayed() bool {
	_, ok := c.raw.(relayedConn)
	return ok
}

func (c *conn) close() {
	if c.isClosed.Swap(true) {
		return
	}
	_ = c.raw.Close() // the connection is no longer used
	if c.onClose != nil {
		c.onClose()
	}
}

// peerClosed reports whether the peer has closed or reset the connection. It consumes neither
// bytes nor an error that is meant for the reader, so it may be called while the connection is
// in use.
func (c *conn) peerClosed() bool {
	if relayed, ok := c.raw.(relayedConn); ok {
		return relayed.PeerClosed()
	}
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	var pollErr error
	var state [1]unix.PollFd
	err = raw.Control(func(fd uintptr) {
		state[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		_, pollErr = unix.Poll(state[:], 0)
	})
	return err != nil || pollErr == nil && state[0].Revents != 0
}

func isAgain(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Surplus bytes would be taken for the response to the next request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if relayed, ok := c.raw.(relayedConn); ok {
		return relayed.Reusable()
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

// exchange sends a request and reads the status line and header of its response.
// When ctx ends the connection is closed, so that the endpoint can stop its work.
func (c *conn) exchange(ctx context.Context, r *Request) (*Response, error) {
	reused := c.served
	c.tag = r.Tag
	stop := context.AfterFunc(ctx, c.close)
	sentAt := time.Now()
	if err := c.write(r); err != nil {
		stop()
		c.close()
		return nil, &Failure{Sent: true, Reused: reused, Step: "write", Cause: err}
	}
	c.acks.Sent()
	head, body, err := c.readHead(r)
	c.acks.Stop()
	if err != nil {
		stop()
		c.close()
		step := "read"
		if errors.Is(err, errStrayResponse) {
			step = "mismatch"
		}
		return nil, &Failure{Sent: true, Arrived: c.hasArrived(sentAt), Reused: reused, Step: step, Cause: contextCauseOr(ctx, err)}
	}
	c.served = true
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, CloseDelimited: responsehead.IsCloseDelimited(head),
		conn: c, body: body, head: head, closeRequested: head.Close, stopCancel: stop,
	}, nil
}

// maxNewAge is how long after its opening a connection shows that the endpoint's machine is up.
const maxNewAge = 100 * time.Millisecond

// hasArrived reports whether the endpoint's machine is known to have received the request that was sent
// at a time. Over a relay no acknowledgement shows, so that only a new connection tells.
func (c *conn) hasArrived(sentAt time.Time) bool {
	if c.isRelayed() {
		return sentAt.Sub(c.openedAt) < maxNewAge
	}
	return c.acks.Arrived()
}

// contextCauseOr returns the cause of ctx's end if it has ended, and err otherwise.
func contextCauseOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxInlineBodyBytes))
	if err := r.appendHead(&b); err != nil {
		return err
	}
	c.upload = nil
	if len(r.Body) <= maxInlineBodyBytes {
		b.Write(r.Body)
		_, err := c.raw.Write(b.Bytes())
		return err
	}
	if _, err := c.raw.Write(b.Bytes()); err != nil {
		return err
	}
	upload := responsehead.NewUpload()
	c.upload = upload
	go func() {
		_, err := c.raw.Write(r.Body)
		upload.End(err)
	}()
	return nil
}

// readHead reads the status line and header of the response that belongs to r, and returns its
// body too.
func (c *conn) readHead(r *Request) (*http.Response, io.Reader, error) {
	for skipped := 0; skipped <= maxStrayResponses; skipped++ {
		head, err := c.readFinalHead(r)
		if err != nil {
			return nil, nil, err
		}
		body, err := c.boundBody(r, head)
		if err != nil || r.Matches == nil || r.Matches(head.StatusCode, head.Header) {
			return head, body, err
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			return nil, nil, err
		}
	}
	return nil, nil, errStrayResponse
}

// boundBody returns the body of a response, bounded. It fails if its length is over the bound.
func (c *conn) boundBody(r *Request, head *http.Response) (io.Reader, error) {
	if head.ContentLength > c.maxBody && r.Method != http.MethodHead {
		return nil, c.reads.Exceeded(r.peer(c.address), readlimit.Body, head.ContentLength, c.maxBody)
	}
	return &boundedBody{from: head.Body, reads: c.reads, peer: r.peer(c.address), bound: c.maxBody}, nil
}

// readFinalHead reads a head, and skips the interim (1xx) responses before it.
func (c *conn) readFinalHead(r *Request) (*http.Response, error) {
	c.head.begin(c.reads, r.peer(c.address))
	defer c.head.end()
	request := &http.Request{Method: r.Method}
	for {
		head, err := c.parseHead(request)
		switch {
		case c.head.err != nil:
			return nil, c.head.err
		case err != nil:
			return nil, shortened(err)
		case head.StatusCode >= http.StatusOK:
			return head, nil
		}
	}
}

// maxErrorBytes bounds the text of an error. That of a parser quotes the line that it rejects.
const maxErrorBytes = 200

// shortened returns err, or one with the beginning of its text if that is too long.
func shortened(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes])
	}
	return err
}

// keepAliveTimeout returns how long the endpoint keeps an idle connection, from the
// timeout parameter of the Keep-Alive header; 0 when there is none.
func keepAliveTimeout(header http.Header) time.Duration {
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
