package reachability

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds a tracker's metrics; label values come from fixed sets.
type metrics struct {
	lost    prometheus.Gauge
	losses  *prometheus.CounterVec
	cutOff  prometheus.Gauge
	cutOffs prometheus.Counter
	relayed prometheus.Counter
}

func newMetrics(to prometheus.Registerer) *metrics {
	with := promauto.With(to)
	return &metrics{
		lost: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_reachability_lost_count",
			Help: "Endpoints to which no new connection could be opened.",
		}),
		losses: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_reachability_losses_total",
			Help: "Links to endpoints that were lost, by how that showed.",
		}, []string{"how"}),
		cutOff: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_reachability_cut_off",
			Help: "1 while this entry reaches no endpoint over links of its own.",
		}),
		cutOffs: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_reachability_cut_offs_total",
			Help: "How often this entry lost its links to all endpoints.",
		}),
		relayed: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_reachability_relayed_total",
			Help: "Connections to endpoints that were opened through a sibling entry.",
		}),
	}
}
