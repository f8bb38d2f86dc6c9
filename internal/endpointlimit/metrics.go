package endpointlimit

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// The results of questions for leave.
const (
	resultGranted = "granted"
	resultDenied  = "denied"
	resultEnded   = "ended" // the limit is known to have ended
)

// serverMetrics are those of a keeper.
type serverMetrics struct {
	asked *prometheus.CounterVec
}

func newServerMetrics(to prometheus.Registerer) *serverMetrics {
	return &serverMetrics{
		asked: promauto.With(to).NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_endpoint_limit_asked_total",
			Help: "Questions of entries for leave to send to an endpoint that names a limit, by result.",
		}, []string{"result"}),
	}
}

func (m *serverMetrics) count(t Taken) {
	result := resultDenied
	switch {
	case !t.Heard.Limited:
		result = resultEnded
	case t.Granted:
		result = resultGranted
	}
	m.asked.WithLabelValues(result).Inc()
}
