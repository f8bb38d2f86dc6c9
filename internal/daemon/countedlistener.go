package daemon

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// byteCounters counts the bytes of a listener's connections below TLS, so
// including its overhead.
type byteCounters struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counters *byteCounters
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: accepted, counters: l.counters}, nil
}

type countedConn struct {
	net.Conn
	counters *byteCounters
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Add(uint64(n))
	return n, err
}

// registerByteCounters registers the metrics of a listener's byte counts.
func registerByteCounters(r prometheus.Registerer, listener string, t *byteCounters) {
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
