package streamorigin

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// serverMetrics holds the metrics of a Server.
type serverMetrics struct {
	records prometheus.Gauge
	dropped prometheus.Counter
}

func newServerMetrics(to prometheus.Registerer) *serverMetrics {
	with := promauto.With(to)
	return &serverMetrics{
		records: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_stream_origins_held",
			Help: "Streams whose beginning this control instance knows.",
		}),
		dropped: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_stream_origins_dropped_total",
			Help: "Streams that were not recorded since the instance holds too many.",
		}),
	}
}

// clientMetrics holds the metrics of a Client.
type clientMetrics struct {
	recorded prometheus.Counter
	sent     *prometheus.CounterVec
	found    *prometheus.CounterVec
}

func newClientMetrics(to prometheus.Registerer) *clientMetrics {
	with := promauto.With(to)
	return &clientMetrics{
		recorded: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_stream_origins_recorded_total",
			Help: "Streams that began or were resumed at this entry.",
		}),
		sent: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_stream_origins_sent_total",
			Help: "Streams sent to control instances, by why (new, again) and by result.",
		}, []string{"why", "result"}),
		found: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_stream_origins_found_total",
			Help: "Streams that callers resume, by how their software version was found.",
		}, []string{"how"}),
	}
}
