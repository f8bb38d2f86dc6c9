package crowd

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Target is what a crowd connects to.
type Target struct {
	Address string      // host:port of a listener
	TLS     *tls.Config // nil: no TLS
	Host    string      // of requests
	Path    string      // of requests; a query may follow
	// Method is that of requests with a body; empty for POST.
	Method string
	// Unread is the path of a request with a large response; empty for Path.
	Unread string
	Header string // lines of each request's head, each with its end
	// Sources is how many client addresses there are; 0 for one.
	Sources int
}

// maxSources bounds the client addresses of a crowd.
const maxSources = 250 * 250

// sourceOf returns the address of the nth client.
func (t Target) sourceOf(n int) net.IP {
	n %= min(max(t.Sources, 1), maxSources)
	return net.IPv4(127, 90, byte(1+n/250), byte(1+n%250))
}

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// sendBufferBytes bounds what the kernel takes of a client that sends faster than it is read:
	// a crowd costs this machine no more than that.
	sendBufferBytes = 64 << 10
)

// dial opens a connection of the nth client. A connection with TLS has had its handshake.
func (t Target) dial(ctx context.Context, n int) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: t.sourceOf(n)}, Control: limitSendBuffer}
	conn, err := dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil || t.TLS == nil {
		return conn, err
	}
	secure := tls.Client(conn, t.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // the handshake's error is returned
		return nil, err
	}
	return secure, nil
}

func limitSendBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
	return cmp.Or(err, optionErr)
}

// head returns the head of a request without the empty line at its end. It has an ID of its own.
func (t Target) head(method, path string, id int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%sAttempt: c%d\r\n", method, path, t.Host, t.Header, id)
}
