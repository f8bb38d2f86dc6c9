package connguard

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the metrics of all Guards of a process; label values come from fixed sets.
type Metrics struct {
	registry prometheus.Registerer
	closed   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	turns    *prometheus.CounterVec
	waited   *prometheus.CounterVec
}

// NewMetrics registers the metrics; to may be nil.
func NewMetrics(to prometheus.Registerer) *Metrics {
	with := promauto.With(to)
	return &Metrics{
		registry: to,
		closed: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_connections_closed_total",
			Help: "Connections of clients that were closed by a bound, by listener and reason (memory, evicted, slow, head, not-taken, full).",
		}, []string{"listener", "reason"}),
		refused: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_requests_refused_unread_total",
			Help: "Requests that were refused before they were looked at, by listener and by what was lacking (memory, processor).",
		}, []string{"listener", "lacked"}),
		turns: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_processor_turns_total",
			Help: "Reads and requests of connections that had used much processor time, which wait for their turn.",
		}, []string{"what"}),
		waited: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_processor_turn_wait_seconds_total",
			Help: "Time for which they have waited.",
		}, []string{"what"}),
	}
}

// watch registers the gauges of a listener.
func (m *Metrics) watch(listener string, ledger *Ledger) {
	with, labels := promauto.With(m.registry), prometheus.Labels{"listener": listener}
	with.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "hyssopsail_connections", Help: "Open connections of clients, by listener.", ConstLabels: labels,
	}, func() float64 {
		connections, _ := ledger.Use()
		return float64(connections)
	})
	with.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "hyssopsail_connections_held_bytes", Help: "What open connections of clients and their requests hold, by listener.", ConstLabels: labels,
	}, func() float64 {
		_, held := ledger.Use()
		return float64(held)
	})
}
