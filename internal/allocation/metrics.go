package allocation

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// The results of requests for a reservation: label values.
const (
	resultImmediate = "at-once"
	resultWaited    = "waited" // reserved after a wait
	resultNone      = "none"
)

// metrics are the metrics of a home.
type metrics struct {
	requests *prometheus.CounterVec
	resumed  *prometheus.CounterVec
}

func newMetrics(to prometheus.Registerer) *metrics {
	with := promauto.With(to)
	return &metrics{
		requests: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_allocation_asked_total",
			Help: "Questions of entries for a place at a model endpoint, by result.",
		}, []string{"result"}),
		resumed: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_allocation_resumed_total",
			Help: "Questions of resumed streams that waited before new requests, by result (waited, none).",
		}, []string{"result"}),
	}
}

// count counts a question; w is nil if it did not wait.
func (m *metrics) count(placement Placement, w *waiter) {
	result := resultImmediate
	switch {
	case placement.Endpoint == "":
		result = resultNone
	case w != nil:
		result = resultWaited
	}
	m.requests.WithLabelValues(result).Inc()
	if w != nil && w.isResumed {
		m.resumed.WithLabelValues(result).Inc()
	}
}
