package control

import "github.com/prometheus/client_golang/prometheus"

type serverMetrics struct {
	proposals prometheus.Histogram
	renewals  *prometheus.CounterVec
	expiries  prometheus.Counter
	pulls     *prometheus.CounterVec
	changes   *prometheus.CounterVec
}

func newServerMetrics(r prometheus.Registerer) *serverMetrics {
	m := &serverMetrics{
		proposals: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hyssopsail_control_propose_seconds",
			Help:    "Time from a command's proposal to its result.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_control_renewals_total",
			Help: "Lease renewals answered, by whether they were granted.",
		}, []string{"granted"}),
		expiries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_control_expiries_total",
			Help: "Instances whose lease ended here.",
		}),
		pulls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_control_pulls_total",
			Help: "Pulls answered, by what they were given.",
		}, []string{"with"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_control_changes_total",
			Help: "Settings changes answered, by status.",
		}, []string{"status"}),
	}
	if r != nil {
		r.MustRegister(m.proposals, m.renewals, m.expiries, m.pulls, m.changes)
	}
	return m
}
