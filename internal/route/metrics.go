package route

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// metrics are the router's metrics. All label values come from fixed sets.
type metrics struct {
	requests   *prometheus.CounterVec
	firstToken prometheus.Histogram
	retries    prometheus.Counter
	// extraArrivals counts the arrivals of a request at a pool after the first, and
	// extraRefused the sends that the fleet's retry budget didn't allow.
	extraArrivals       prometheus.Counter
	extraRefused        prometheus.Counter
	resumed             prometheus.Counter
	wastedPrefillTokens prometheus.Counter
	outputTokens        prometheus.Counter
	grantsExpired       prometheus.Counter
	// cooldowns counts the answers by which an endpoint requested a cooldown, and
	// cooldownRefused the sends that the last check refused because of one.
	cooldowns, cooldownRefused prometheus.Counter
	targets                    *prometheus.CounterVec
	partRefusals               prometheus.Counter
}

const (
	kindModel = "model"
	kindCall  = "call"
)

func newMetrics(to prometheus.Registerer, f *inFlightRequests) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_route_requests_total",
			Help: "Requests by kind and outcome.",
		}, []string{"kind", "outcome"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hyssopsail_route_first_token_seconds",
			Help:    "Time from arrival to the first token.",
			Buckets: []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 5, 10},
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_route_retries_total",
			Help: "Attempts after the first.",
		}),
		extraArrivals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_route_extra_arrivals_total",
			Help: "Arrivals at a pool of endpoints beyond the first of a request.",
		}),
		extraRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_route_extra_refused_total",
			Help: "Sends that were not made since they would have been one arrival too many for the fleet.",
		}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_route_resumed_total",
			Help: "Streams that went on at another decode engine.",
		}),
		wastedPrefillTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_route_wasted_prefill_tokens_total",
			Help: "Prompt tokens whose prefill was discarded before use.",
		}),
		outputTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_route_output_tokens_total",
			Help: "Output tokens passed on to callers.",
		}),
		targets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_route_whole_answers_total",
			Help: "Whole answers of models by the team's targets that they met; both: goodput.",
		}, []string{"met"}),
		grantsExpired: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_route_grants_over_total",
			Help: "Sends refused by the last check since their grant had run out.",
		}),
	}
	m.cooldowns = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopsail_route_rests_total",
		Help: "Answers by which an endpoint asked this entry for rest.",
	})
	m.cooldownRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopsail_route_rest_kept_total",
		Help: "Sends refused by the last check since their endpoint had asked for rest.",
	})
	m.partRefusals = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopsail_route_part_refusals_total",
		Help: "Attempts that were refused since a part of their prompt crashes engines.",
	})
	if to == nil {
		return m
	}
	running := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "hyssopsail_route_running_requests",
		Help: "Requests in flight.",
	}, func() float64 { return float64(f.running()) })
	to.MustRegister(m.requests, m.firstToken, m.retries, m.extraArrivals, m.extraRefused, m.resumed, m.wastedPrefillTokens, m.outputTokens, m.grantsExpired, m.cooldowns, m.cooldownRefused, m.targets, m.partRefusals, running)
	return m
}

func (m *metrics) requestEnded(kind string, failure *Failure) {
	outcome := callerapi.OutcomeCompleted
	if failure != nil {
		outcome = failure.Outcome
	}
	m.requests.WithLabelValues(kind, string(outcome)).Inc()
}

func (m *metrics) observeFirstToken(after time.Duration) { m.firstToken.Observe(after.Seconds()) }
