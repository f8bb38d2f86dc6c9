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
}

func newMetrics(to prometheus.Registerer) *metrics {
	return &metrics{requests: promauto.With(to).NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopsail_allocation_asked_total",
		Help: "Questions of entries for a place at a model endpoint, by result.",
	}, []string{"result"})}
}

func (m *metrics) count(placement Placement, waited bool) {
	result := resultImmediate
	switch {
	case placement.Endpoint == "":
		result = resultNone
	case waited:
		result = resultWaited
	}
	m.requests.WithLabelValues(result).Inc()
}
