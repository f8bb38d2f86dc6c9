package crowd

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reset closes a connection, of which the kernel keeps nothing.
func reset(conn net.Conn) {
	raw := conn
	if secure, ok := conn.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	_ = raw.Close()
}

// hasEnded reports whether the peer has closed or reset a connection. It reads nothing.
func hasEnded(conn net.Conn) bool {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	state := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) {
		state[0].Fd = int32(fd)
		_, _ = unix.Poll(state, 0) // without a result nothing has ended
	})
	return err != nil || state[0].Revents != 0
}
