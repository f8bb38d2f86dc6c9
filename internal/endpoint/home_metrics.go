package endpoint

import "github.com/prometheus/client_golang/prometheus"

// homeMetrics are the metrics of a home. Label values are bounded.
type homeMetrics struct {
	grants      *prometheus.CounterVec
	sweptHolds  prometheus.Counter
	crashes     prometheus.Counter
	droppedJobs prometheus.Counter
	queueWait   prometheus.Histogram
}

func newHomeMetrics(r prometheus.Registerer) *homeMetrics {
	m := &homeMetrics{
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_home_grants_total", Help: "Grant requests answered, by status.",
		}, []string{"status"}),
		sweptHolds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_home_swept_holds_total", Help: "Cancels sent for holds without a live owner.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_home_endpoint_crashes_total", Help: "Endpoint incarnations that died while they ran requests.",
		}),
		droppedJobs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_home_dropped_jobs_total", Help: "Probes, resyncs and owner calls put off because too many waited.",
		}),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "hyssopsail_home_grant_wait_seconds", Help: "Time grant requests waited at the home.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
	if r != nil {
		r.MustRegister(m.grants, m.sweptHolds, m.crashes, m.droppedJobs, m.queueWait)
	}
	return m
}
