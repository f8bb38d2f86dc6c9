package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silenceTimeout bounds how long sent bytes may stay unacknowledged.
//
// Failure: a silent network partition drops packets without a reset. TCP then
// retransmits with growing pauses, and after the partition heals a pooled
// connection may stay mute for a minute or more. It shows as calls that time
// out long after the network is back. With the bound the kernel closes the
// connection, and the next call dials anew.
const silenceTimeout = 3 * time.Second

func netDialer(from net.IP) *net.Dialer {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: boundSilence,
	}
	if from != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return dialer
}

func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
