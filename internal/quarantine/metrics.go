package quarantine

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

type metrics struct {
	runs        *prometheus.CounterVec
	unreachable prometheus.Counter
	lostEnds    prometheus.Counter
	tracked     prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_quarantine_runs_total",
			Help: "Runs asked for, by verdict.",
		}, []string{"verdict"}),
		unreachable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_quarantine_unreachable_total",
			Help: "Runs decided without their guard instance.",
		}),
		lostEnds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_quarantine_lost_ends_total",
			Help: "Ends of runs that their guard instance wasn't told.",
		}),
		tracked: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_quarantine_tracked_fingerprints",
			Help: "Fingerprints that this process guards.",
		}),
	}
	if r != nil {
		r.MustRegister(m.runs, m.unreachable, m.lostEnds, m.tracked)
	}
	return m
}

// countVerdict counts the verdict on a run.
func (m *metrics) countVerdict(v pb.RunVerdict) {
	label := "invalid"
	if name, ok := pb.RunVerdict_name[int32(v)]; ok {
		label = name
	}
	m.runs.WithLabelValues(label).Inc()
}
