package engine

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// The values of label result, besides engineapi's error codes.
const (
	resultDone   = "done"
	resultGate   = "gate"
	resultUnsent = "unsent"
	resultFailed = "failed"
)

// metrics are the client's metrics. The label values are limited to the
// operations and error codes of engineapi.
type metrics struct {
	calls          *prometheus.CounterVec
	openStreams    prometheus.Gauge
	pendingCancels prometheus.Gauge
	unconfirmed    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_engine_calls_total",
			Help: "Calls to endpoints by operation and result.",
		}, []string{"op", "result"}),
		openStreams: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_engine_streams_count",
			Help: "Open decode streams.",
		}),
		pendingCancels: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_engine_cancels_pending_count",
			Help: "Cancels that no endpoint has confirmed yet.",
		}),
		unconfirmed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_engine_cancels_unconfirmed_total",
			Help: "Cancels given up without confirmation.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.openStreams, m.pendingCancels, m.unconfirmed)
	}
	return m
}

// countResult counts a finished call, records the bound that it met, if any, and returns err.
func (c *HTTPClient) countResult(op string, err error) error {
	c.metrics.calls.WithLabelValues(op, resultOf(err)).Inc()
	c.recordExceeded(err)
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
