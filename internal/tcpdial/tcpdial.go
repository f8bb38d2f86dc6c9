// Package tcpdial makes dialers whose connections end when their peer's machine no longer
// answers: one that lost power, or is behind a network partition, sends not even a reset.
package tcpdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout bounds how long sent bytes may stay unacknowledged. TCP retransmits with
// growing pauses, so without it a connection may stay stalled for a minute or more after a
// partition heals. It also decides when keep-alive probes give up, whatever their count.
const unackedTimeout = 3 * time.Second

// New returns a dialer. timeout limits the opening of a connection, 0 for no limit; from is
// its source address, nil to have the kernel choose it.
func New(timeout time.Duration, from net.IP) *net.Dialer {
	dialer := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control:         setUserTimeout,
	}
	if from != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return dialer
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Direct returns a function that opens TCP connections from a source address, which may be nil.
func Direct(from net.IP) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := New(0, from)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}
