package engine

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// The values of label result, besides the endpoints' own codes.
const (
	resultDone   = "done"
	resultGate   = "gate"
	resultUnsent = "unsent"
	resultFailed = "failed"
)

// metrics are the client's counts. Labels are bounded: the operations and
// codes of engineapi.
type metrics struct {
	calls   *prometheus.CounterVec
	streams prometheus.Gauge
	pending prometheus.Gauge
	dropped prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_engine_calls_total",
			Help: "Calls to endpoints by operation and result.",
		}, []string{"op", "result"}),
		streams: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_engine_streams_count",
			Help: "Open decode streams.",
		}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_engine_cancels_pending_count",
			Help: "Cancels that no endpoint has confirmed yet.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_engine_cancels_unconfirmed_total",
			Help: "Cancels given up without confirmation.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.streams, m.pending, m.dropped)
	}
	return m
}

// finish counts a call's end and passes err on.
func (c *HTTPClient) finish(op string, err error) error {
	c.metrics.calls.WithLabelValues(op, resultOf(err)).Inc()
	return err
}

func resultOf(err error) string {
	if err == nil {
		return resultDone
	}
	if errors.Is(err, ErrGate) {
		return resultGate
	}
	var failure *Error
	if !errors.As(err, &failure) {
		return resultFailed
	}
	if failure.Code != "" {
		return string(failure.Code)
	}
	if !failure.Sent {
		return resultUnsent
	}
	return resultFailed
}
