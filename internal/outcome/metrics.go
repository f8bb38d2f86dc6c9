package outcome

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	claims     *prometheus.CounterVec
	duration   prometheus.Histogram
	requests   *prometheus.CounterVec
	records    prometheus.Gauge
	copying    prometheus.Gauge
	unfinished prometheus.Counter
	outOfZone  prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_ledger_claims_total",
			Help: "Claims by verdict.",
		}, []string{"verdict"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hyssopsail_ledger_claim_seconds",
			Help:    "Time that a claim takes.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14),
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_ledger_requests_total",
			Help: "Requests to replicas by action, and whether the replica is this process.",
		}, []string{"action", "local"}),
		records: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_ledger_records",
			Help: "Outcome records held.",
		}),
		copying: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_ledger_copying_shards",
			Help: "Shards that this process still has to copy.",
		}),
		unfinished: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_ledger_unfinished_total",
			Help: "Outcomes that no majority took in time.",
		}),
		outOfZone: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_ledger_former_out_of_zone_total",
			Help: "Keys answered unknown: records of the team's former zones are outside its present ones.",
		}),
	}
	if r != nil {
		r.MustRegister(m.claims, m.duration, m.requests, m.records, m.copying, m.unfinished, m.outOfZone)
	}
	return m
}

func (m *metrics) observeClaim(v Verdict, err error, took time.Duration) {
	label := v.String()
	if err != nil {
		label = "error"
	}
	m.claims.WithLabelValues(label).Inc()
	m.duration.Observe(took.Seconds())
}

var actionNames = [...]string{
	ActionUnset:   "unset",
	ActionPrepare: "prepare",
	ActionAccept:  "accept",
	ActionFinish:  "finish",
	ActionLookup:  "lookup",
}

func (m *metrics) countRequest(a Action, local bool) {
	label := "false"
	if local {
		label = "true"
	}
	m.requests.WithLabelValues(actionNames[a], label).Inc()
}
