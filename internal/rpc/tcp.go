package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout bounds how long sent bytes may stay unacknowledged.
//
// It guards against network partitions that drop packets without a reset. TCP
// retransmits with growing pauses, so a pooled connection may stay stalled for a
// minute or more after the partition heals, and calls time out long after the
// network is back. With this timeout the kernel closes the connection, and the
// next call dials again.
const unackedTimeout = 3 * time.Second

func netDialer(from net.IP) *net.Dialer {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: setUserTimeout,
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
