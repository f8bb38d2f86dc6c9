package endpointlimit

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// The results of requests for a permit: label values.
const (
	resultGranted = "granted"
	resultDenied  = "denied"
	resultEnded   = "ended" // the limit is known to have ended
)

// serverMetrics are the metrics of a limit server.
type serverMetrics struct {
	requests *prometheus.CounterVec
}

func newServerMetrics(to prometheus.Registerer) *serverMetrics {
	return &serverMetrics{
		requests: promauto.With(to).NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_endpoint_limit_asked_total",
			Help: "Questions of entries for leave to send to an endpoint that names a limit, by result.",
		}, []string{"result"}),
	}
}

func (m *serverMetrics) count(r TakeResult) {
	label := resultDenied
	switch {
	case !r.Limit.Limited:
		label = resultEnded
	case r.Granted:
		label = resultGranted
	}
	m.requests.WithLabelValues(label).Inc()
}
