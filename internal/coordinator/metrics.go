package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the coordinator's metrics; label values come from fixed sets.
type metrics struct {
	heartbeats *prometheus.CounterVec
	documents  *prometheus.CounterVec
	version    prometheus.Gauge
	current    prometheus.Gauge
	orders     *prometheus.CounterVec
	expired    *prometheus.CounterVec
}

func newMetrics(to prometheus.Registerer, behind func() float64) *metrics {
	with := promauto.With(to)
	with.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "hyssopsail_coordinator_entries_behind_count",
		Help: "Entries that ask this member and whose configuration was replaced over 2 s ago.",
	}, behind)
	return &metrics{
		heartbeats: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_coordinator_heartbeats_total",
			Help: "Heartbeats of endpoints by how they were answered.",
		}, []string{"result"}),
		documents: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_coordinator_documents_total",
			Help: "Configurations sent here by how they were answered.",
		}, []string{"result"}),
		version: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_coordinator_document_version",
			Help: "Version of the newest configuration applied here.",
		}),
		current: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_coordinator_current",
			Help: "Whether this member was in touch with a live leader lately.",
		}),
		orders: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_coordinator_orders_total",
			Help: "Orders to endpoints by how they were answered.",
		}, []string{"result"}),
		expired: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_coordinator_expired_total",
			Help: "Records taken out as their heartbeats had stopped.",
		}, []string{"kind"}),
	}
}

// resultOf returns the value of the label "result" for a call.
func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
