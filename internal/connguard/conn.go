package connguard

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxPieceBytes bounds what is written at once, so that a client which takes a long response
	// slowly, but takes it, is seen to make progress.
	maxPieceBytes = 16 << 10
	// parsedPerByte and parsedPerLine are what a parser makes of a head, bytes: it keeps each
	// field as a name, a value and an entry of a table, and handlers copy them.
	parsedPerByte = 2
	parsedPerLine = 640
	// parsedPerEncryptedByte is that of a head whose lines can't be counted.
	parsedPerEncryptedByte = 32
	// headSlack is what may be read beyond a head, and how much the count of its bytes may differ
	// from the client's.
	headSlack = 8 << 10
	// memoryPoll and maxMemoryPoll are the first and the last pause of a request that waits for
	// memory, each twice the one before: it waits some 60 ms.
	memoryPoll    = 2 * time.Millisecond
	maxMemoryPoll = 32 * time.Millisecond
	// answerTimeout bounds the writing of a refusal, for which the kernel usually has room.
	answerTimeout = 10 * time.Millisecond
	// refusalTimeout bounds the time in which an evicted connection may still refuse its request.
	refusalTimeout = 5 * time.Millisecond
)

// Conn is a connection that a Guard bounds.
type Conn struct {
	net.Conn
	guard   *Guard
	account *Account
	aborted chan struct{} // closed when the connection is evicted

	turn atomic.Pointer[turn] // nil without one

	// Only the goroutine that reads uses head; servers have one at a time.
	head int64 // bytes of the head that is received

	mu        sync.Mutex // guards the fields below
	meter     meter
	isProven  bool  // the client is another process of the fleet
	held      int64 // bytes of the requests, in the account
	isShared  bool  // requests are served side by side
	isEvicted bool
	takeBy    time.Time // write deadline
	outerTake bool      // the server has set a write deadline
}

// Read implements net.Conn. After a bound was met it fails like a connection that was reset.
func (c *Conn) Read(p []byte) (int, error) {
	c.guard.leaveTurn(c.turn.Swap(nil))
	n, err := c.Conn.Read(p)
	if n > 0 {
		if boundErr := c.receive(time.Now(), p[:n]); boundErr != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: boundErr}
		}
	}
	if err != nil && c.evictedNow() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrEvicted}
	}
	return n, err
}

// receive accounts for bytes that have arrived, and waits for the connection's turn if it has used
// much processor time.
func (c *Conn) receive(now time.Time, p []byte) error {
	lines := bytes.Count(p, []byte{'\n'})
	recent := c.addWork(now, workOf(len(p), lines))
	// An HTTP server reads single bytes beside a request that it serves.
	if len(p) == 1 && !c.account.IsReceiving() {
		return nil
	}
	phase, first, late := c.account.Receive(now, int64(len(p)))
	if phase == Serving {
		return nil
	}
	if late {
		return c.fail(ErrTooSlow, nil)
	}
	if first {
		c.beginHead(now)
	}
	if phase == Head {
		c.head += int64(len(p))
		if c.guard.isHeadTooLarge(c.head) {
			return c.fail(ErrHeadTooLarge, c.guard.headTooLarge)
		}
		if !c.Hold(parsedBytes(len(p), lines, c.guard.options.Limits.Encrypted)) {
			return c.fail(ErrNoMemory, c.guard.noMemory)
		}
	}
	c.turn.Store(c.guard.turn(now, recent, c.aborted))
	return nil
}

// addWork adds to what the connection has used of the processor, and returns its recent work.
func (c *Conn) addWork(now time.Time, w Work) Work {
	connections, _ := c.account.ledger.Use()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isProven {
		return 0
	}
	return c.meter.add(now, w, lightRate(connections))
}

func parsedBytes(bytes, lines int, encrypted bool) int64 {
	if encrypted {
		return int64(bytes) * parsedPerEncryptedByte
	}
	return int64(bytes)*parsedPerByte + int64(lines)*parsedPerLine
}

func (c *Conn) beginHead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = 0
	c.limitTime(now, c.guard.options.Limits.ReceiveTimeout)
}

// fail records why the connection ends, and sends what is to be sent then.
func (c *Conn) fail(reason error, answer []byte) error {
	phase, held := c.account.State()
	c.guard.record(reason, c, phase, held)
	if len(answer) > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout)) // the write fails as well
		_, _ = c.Conn.Write(answer)                                // the client may be gone
	}
	return reason
}

// Hold adds to what the request holds, and reports whether it may.
func (c *Conn) Hold(bytes int64) bool {
	if !c.account.ledger.retry(func() bool { return c.account.Hold(time.Now(), bytes) }) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += bytes
	return true
}

// Release takes from what the request holds.
func (c *Conn) Release(bytes int64) {
	c.mu.Lock()
	bytes = min(bytes, c.held)
	c.held -= bytes
	c.mu.Unlock()
	c.account.Release(bytes)
}

// BeginRequest tells that the head of a request is complete, with a number of fields. It reports whether
// the request may be served now; EndRequest must then follow.
func (c *Conn) BeginRequest(fields int) bool {
	c.guard.leaveTurn(c.turn.Swap(nil))
	now := time.Now()
	recent := c.addWork(now, workPerRequest)
	if !c.guard.begin(now, recent, c.aborted) {
		c.guard.recordRefused(c, "processor", 0)
		return false
	}
	c.account.Enter(now, Body)
	c.holdHead(int64(fields) * parsedPerLine)
	more := c.guard.options.Limits.RequestBytes
	heavy := c.guard.isHeavy(recent)
	if c.account.SetHeavy(heavy, more) && (c.Hold(more) || !heavy && c.awaitMemory(more)) {
		return true
	}
	c.guard.recordRefused(c, "memory", more)
	return false
}

// awaitMemory waits a moment for memory that requests which are being served still hold.
func (c *Conn) awaitMemory(bytes int64) bool {
	for wait := memoryPoll; wait <= maxMemoryPoll; wait *= 2 {
		select {
		case <-c.aborted:
			return false
		case <-time.After(wait):
		}
		if c.Hold(bytes) {
			return true
		}
	}
	return false
}

// holdHead makes the requests hold what was made of a head. Before, all that had been read counted, which
// may be heads of requests that follow.
func (c *Conn) holdHead(bytes int64) {
	c.mu.Lock()
	surplus, isShared := c.held-bytes, c.isShared
	c.mu.Unlock()
	switch {
	case surplus < 0:
		c.Hold(-surplus) // without room for it, there is none for the request
	case !isShared:
		c.Release(surplus)
	}
}

// EndRequest tells that a request has been served.
func (c *Conn) EndRequest() { c.Release(c.guard.options.Limits.RequestBytes) }

// Received tells that a request has arrived whole.
func (c *Conn) Received() {
	c.account.Enter(time.Now(), Serving)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.options.Limits.ReceiveTimeout > 0 && !c.isEvicted {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection has ended
	}
}

// Prove tells that the client has shown to be another process of the fleet: it waits for no turn any
// more.
func (c *Conn) Prove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isProven = true
}

// Share tells that the connection carries requests side by side, for which it holds bytes more. It reports
// whether there is memory for them.
func (c *Conn) Share(bytes int64) bool {
	c.mu.Lock()
	c.isShared = true
	c.mu.Unlock()
	c.account.Share()
	return c.account.Hold(time.Now(), bytes)
}

// EndRequests tells that no request is left.
func (c *Conn) EndRequests() {
	now := time.Now()
	c.mu.Lock()
	held := c.held
	c.held = 0
	c.limitTime(now, c.guard.options.Limits.IdleTimeout)
	c.mu.Unlock()
	c.account.Release(held)
	c.account.Enter(now, Idle)
}

// limitTime sets a read deadline, where a time is bounded.
func (c *Conn) limitTime(now time.Time, limit time.Duration) {
	if limit > 0 && !c.isEvicted {
		_ = c.Conn.SetReadDeadline(now.Add(limit)) // fails only if the connection has ended
	}
}

// Write implements net.Conn. It fails if the client doesn't take a part in time.
func (c *Conn) Write(p []byte) (written int, err error) {
	for first := true; first || len(p) > 0 && err == nil; first = false {
		piece := p[:min(len(p), maxPieceBytes)]
		var n int
		n, err = c.writePiece(piece)
		written += n
		p = p[n:]
	}
	return written, err
}

func (c *Conn) writePiece(p []byte) (int, error) {
	now := time.Now()
	ours := c.extendTake(now)
	c.account.BeginSend(now)
	n, err := c.Conn.Write(p)
	c.account.EndSend()
	if ours && errors.Is(err, os.ErrDeadlineExceeded) && !c.evictedNow() {
		_ = c.fail(errNotTaken, nil)
		reset(c.Conn)
	}
	return n, err
}

// extendTake sets the write deadline if it is near, and reports whether it is that of this type.
func (c *Conn) extendTake(now time.Time) bool {
	timeout := c.guard.options.Limits.StallTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout <= 0 || c.outerTake || c.isEvicted {
		return false
	}
	if c.takeBy.Sub(now) < timeout {
		c.takeBy = now.Add(timeout + timeout/2)
		_ = c.Conn.SetWriteDeadline(c.takeBy) // the write fails as well
	}
	return true
}

// SetWriteDeadline implements net.Conn. A zero time leaves the bound of this type. An evicted connection
// keeps the deadline that ends it.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEvicted {
		return nil
	}
	c.outerTake, c.takeBy = !t.IsZero(), time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. An evicted connection keeps that which ends it.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEvicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// abort ends an evicted connection. A request that is received can still be refused; otherwise the
// connection is reset, which frees what the kernel holds.
func (c *Conn) abort(e Eviction) {
	c.mu.Lock()
	c.isEvicted = true
	// These end reads and writes; they fail only if the connection has ended.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	c.mu.Unlock()
	close(c.aborted)
	c.guard.record(ErrEvicted, c, e.Phase, e.Held)
	if !e.Refusable {
		reset(c.Conn)
	}
}

func (c *Conn) evictedNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isEvicted
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// CloseWrite shuts down the sending side, which HTTP servers do before they close a connection with
// unread bytes.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return rawConnOf(c.Conn) }
