package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/route"
)

type metrics struct {
	failures *prometheus.CounterVec
}

func newMetrics(to prometheus.Registerer) *metrics {
	m := &metrics{failures: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopsail_entry_failures_total",
		Help: "Answers other than a whole one, by error code.",
	}, []string{"code"})}
	if to != nil {
		to.MustRegister(m.failures)
	}
	return m
}

func (m *metrics) countFailure(f *route.Failure) {
	m.failures.WithLabelValues(string(f.Code)).Inc()
}
