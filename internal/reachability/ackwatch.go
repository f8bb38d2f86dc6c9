package reachability

import (
	"net"
	"sync"
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

	mu    sync.Mutex // guards timer
	timer *time.Timer
}

// NewAckWatch returns a watch of a connection.
func NewAckWatch(conn net.Conn, suspect func()) *AckWatch {
	return &AckWatch{conn: conn, suspect: suspect}
}

// Sent begins to watch after bytes were sent.
func (w *AckWatch) Sent() {
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

func (w *AckWatch) check() {
	if hasUnacked(w.conn) {
		w.suspect()
	}
}

// hasUnacked reports whether a connection is open and has sent segments that are not
// acknowledged.
func hasUnacked(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err == nil && infoErr == nil && info.Unacked > 0
}
