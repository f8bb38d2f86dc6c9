package httpconn

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hyssopsail/hyssopsail/internal/reachability"
)

// ackTimeout is how long bytes of a request may stay unacknowledged before the link counts as
// lost. It covers the loss of the packet and of its first retransmission.
const ackTimeout = 300 * time.Millisecond

// watchAcks checks after ackTimeout whether the endpoint's kernel has acknowledged the
// request, which it does whatever its process is busy with. stop ends the watch.
func (c *conn) watchAcks() (stop func()) {
	if c.link == nil {
		return func() {}
	}
	timer := time.AfterFunc(ackTimeout, func() {
		if c.hasUnacked() {
			c.link.Failed(time.Now(), reachability.Unacknowledged)
		}
	})
	return func() { timer.Stop() }
}

// hasUnacked reports whether the connection is open and sent segments are unacknowledged.
func (c *conn) hasUnacked() bool {
	source, ok := c.raw.(syscall.Conn)
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
