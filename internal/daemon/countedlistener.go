package daemon

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// traffic counts the bytes of a listener's connections, below TLS.
type traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: accepted, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// registerTraffic shows a listener's bytes among the daemon's metrics.
func registerTraffic(r prometheus.Registerer, listener string, t *traffic) {
	register := func(direction string, count *atomic.Uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "hyssopsail_listener_bytes_total",
			Help:        "Bytes of a listener's connections, TCP and IP headers not included.",
			ConstLabels: prometheus.Labels{"listener": listener, "direction": direction},
		}, func() float64 { return float64(count.Load()) }))
	}
	register("received", &t.received)
	register("sent", &t.sent)
}
