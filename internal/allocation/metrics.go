package allocation

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// The results of questions for a place.
const (
	resultAtOnce = "at-once"
	resultWaited = "waited" // and came free
	resultNone   = "none"
)

// metrics are those of a home.
type metrics struct {
	asked *prometheus.CounterVec
}

func newMetrics(to prometheus.Registerer) *metrics {
	return &metrics{asked: promauto.With(to).NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopsail_allocation_asked_total",
		Help: "Questions of entries for a place at a model endpoint, by result.",
	}, []string{"result"})}
}

func (m *metrics) count(g Grant, waited bool) {
	result := resultAtOnce
	switch {
	case g.Endpoint == "":
		result = resultNone
	case waited:
		result = resultWaited
	}
	m.asked.WithLabelValues(result).Inc()
}
