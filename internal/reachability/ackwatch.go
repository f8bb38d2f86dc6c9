package reachability

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackTimeout is how long sent bytes may stay unacknowledged until the link is suspected.
const ackTimeout = 150 * time.Millisecond

// AckWatch finds out that what was sent over a direct connection doesn't arrive: the endpoint's
// kernel acknowledges bytes within a round trip, whatever its process is busy with. It is safe
// for concurrent use. Its lock is a leaf.
type AckWatch struct {
	conn    net.Conn
	suspect func() // called if bytes stay unacknowledged

	arrived atomic.Bool // all that was sent since Sent was called

	mu    sync.Mutex // guards timer
	timer *time.Timer
}

// NewAckWatch returns a watch of a connection.
func NewAckWatch(conn net.Conn, suspect func()) *AckWatch {
	return &AckWatch{conn: conn, suspect: suspect}
}

// Sent begins to watch after bytes were sent.
func (w *AckWatch) Sent() {
	w.arrived.Store(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(ackTimeout, w.check)
		return
	}
	w.timer.Reset(ackTimeout)
}

// Stop ends the watch until bytes are sent again.
func (w *AckWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Arrived reports whether the endpoint's machine was seen to have received what was sent. It is
// not known of what was answered or given up within ackTimeout, nor over a relay.
func (w *AckWatch) Arrived() bool { return w.arrived.Load() }

func (w *AckWatch) check() {
	switch n, ok := unackedSegments(w.conn); {
	case !ok:
	case n > 0:
		w.suspect()
	default:
		w.arrived.Store(true)
	}
}

// unackedSegments returns how many segments that a connection has sent are not acknowledged; ok is
// false if it is closed or has no socket.
func unackedSegments(conn net.Conn) (n uint32, ok bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	return info.Unacked, true
}
