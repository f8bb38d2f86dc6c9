package readlimit

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the metrics of all Guards of a process; label values come from fixed sets.
type Metrics struct {
	held     *prometheus.GaugeVec
	exceeded *prometheus.CounterVec
}

// NewMetrics registers the metrics; to may be nil.
func NewMetrics(to prometheus.Registerer) *Metrics {
	with := promauto.With(to)
	return &Metrics{
		held: with.NewGaugeVec(prometheus.GaugeOpts{
			Name: "hyssopsail_read_held_bytes",
			Help: "Bytes that reads hold until their part of a message is complete, beyond those that each may hold whatever others do, by who sends and by part.",
		}, []string{"peer", "part"}),
		exceeded: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_read_exceeded_total",
			Help: "Reads that met a bound, by who sends, by part and by the bound (part, memory).",
		}, []string{"peer", "part", "bound"}),
	}
}

// Held returns the gauge of the bytes that reads hold.
func (m *Metrics) Held(peers PeerKind, part Part) prometheus.Gauge {
	return m.held.WithLabelValues(string(peers), string(part))
}
