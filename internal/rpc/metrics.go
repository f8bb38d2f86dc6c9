package rpc

import (
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts calls and their bytes on the wire. A nil *Metrics counts nothing.
type Metrics struct {
	bytes *prometheus.CounterVec
	calls *prometheus.CounterVec

	mu      sync.Mutex
	methods map[string]string // by full name, at most maxMethods
}

// The values of the label "side".
const (
	sideClient = "client"
	sideServer = "server"
)

// Values of the label "method" that don't name a method.
const (
	methodHandshake = "handshake"
	methodOther     = "other"
)

// maxMethods bounds the values of the label "method", since a peer may send any
// method name.
const maxMethods = 64

// NewMetrics registers the counters; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_rpc_bytes_total",
			Help: "Bytes of connections between processes, TLS included, TCP and IP headers not; added when a call ends.",
		}, []string{"side", "direction", "method"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_rpc_calls_total",
			Help: "Calls between processes that have ended, also by an error.",
		}, []string{"side", "method"}),
		methods: make(map[string]string),
	}
	if r != nil {
		r.MustRegister(m.bytes, m.calls)
	}
	return m
}

func (m *Metrics) recordCall(side, rpc string, c *countedConn) {
	if m == nil {
		return
	}
	method := m.method(rpc)
	m.calls.WithLabelValues(side, method).Inc()
	m.add(side, method, c)
}

func (m *Metrics) recordHandshake(side string, c *countedConn) {
	if m != nil {
		m.add(side, methodHandshake, c)
	}
}

func (m *Metrics) add(side, method string, c *countedConn) {
	received, sent := c.takeCounts()
	m.bytes.WithLabelValues(side, "received", method).Add(float64(received))
	m.bytes.WithLabelValues(side, "sent", method).Add(float64(sent))
}

// method shortens "/package.Service/Method" to "Service/Method".
func (m *Metrics) method(rpc string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if short, ok := m.methods[rpc]; ok {
		return short
	}
	if len(m.methods) >= maxMethods {
		return methodOther
	}
	short := rpc[strings.LastIndexByte(rpc, '.')+1:]
	m.methods[rpc] = short
	return short
}
