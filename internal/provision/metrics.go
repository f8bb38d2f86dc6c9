package provision

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	planned   prometheus.Counter
	ended     *prometheus.CounterVec
	polls     *prometheus.CounterVec
	pollBytes prometheus.Counter
}

func newMetrics(to prometheus.Registerer) *metrics {
	m := &metrics{
		planned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_provision_changes_total",
			Help: "Changes of endpoints that were planned here, carried out or not.",
		}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_provision_ended_total",
			Help: "Changes of endpoints carried out here, by result.",
		}, []string{"result"}),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_provision_polls_total",
			Help: "Looks at the region's demand and endpoints, by whether all entries answered.",
		}, []string{"result"}),
		pollBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_provision_poll_bytes",
			Help: "Bytes of the answers to looks, before framing.",
		}),
	}
	if to != nil {
		to.MustRegister(m.planned, m.ended, m.polls, m.pollBytes)
	}
	return m
}
