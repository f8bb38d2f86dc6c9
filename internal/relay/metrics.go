package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// metrics are the router's own; label values come from fixed sets.
type metrics struct {
	ended         *prometheus.CounterVec
	firstPart     *prometheus.HistogramVec
	sends         *prometheus.CounterVec
	placeWait     prometheus.Histogram
	noRoom        prometheus.Counter
	reading       prometheus.Histogram
	readWhere     *prometheus.CounterVec
	running       prometheus.Gauge
	extraArrivals *prometheus.CounterVec
	// extraRefused counts sends that were not made for want of budget.
	extraRefused prometheus.Counter
	// lost counts sends whose connection broke before the answer was whole.
	lost *prometheus.CounterVec
	// outlived counts those after which their endpoint went on.
	outlived    prometheus.Counter
	quarantined prometheus.Counter
	// leftToLapse counts what was not freed for want of a place in giveBacks.
	leftToLapse prometheus.Counter
	// limitWords counts what answers said anew of their endpoints' limits.
	limitWords   *prometheus.CounterVec
	limitedSends *prometheus.CounterVec
	// limitDenied counts sends that were not made for an endpoint's limit.
	limitDenied   *prometheus.CounterVec
	unwantedWords *prometheus.CounterVec
	// unwantedSends counts sends to endpoints that were known to want nothing.
	unwantedSends *prometheus.CounterVec
}

// answerBuckets reach from a plain call's answer to the longest patience, s.
var answerBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 1.5, 3, 6, 14}

func newMetrics(to prometheus.Registerer) *metrics {
	with := promauto.With(to)
	return &metrics{
		ended: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_exchanges_total",
			Help: "Exchanges by the kind of their route and how they ended.",
		}, []string{"kind", "end"}),
		firstPart: with.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hyssopsail_relay_first_part_seconds", Buckets: answerBuckets,
			Help: "Time from arrival to the first part of the answer that was passed on.",
		}, []string{"kind"}),
		sends: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_sends_total",
			Help: "Sends of exchanges to endpoints by what came of them.",
		}, []string{"outcome"}),
		placeWait: with.NewHistogram(prometheus.HistogramOpts{
			Name: "hyssopsail_relay_place_wait_seconds", Buckets: answerBuckets,
			Help: "Time that model requests waited for memory at an endpoint.",
		}),
		noRoom: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_no_room_total",
			Help: "Questions for memory that an endpoint had none for.",
		}),
		reading: with.NewHistogram(prometheus.HistogramOpts{
			Name: "hyssopsail_relay_prefill_seconds", Buckets: answerBuckets,
			Help: "Time that prefills took, waits included.",
		}),
		readWhere: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_prompts_total",
			Help: "Prompts by where they were read.",
		}, []string{"place"}),
		extraArrivals: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_extra_arrivals_total",
			Help: "Arrivals at endpoints beyond the first of an exchange, by what came of the one before.",
		}, []string{"cause"}),
		extraRefused: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_extra_refused_total",
			Help: "Sends that were not made since they would have been one arrival too many for the fleet.",
		}),
		lost: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_lost_sends_total",
			Help: "Sends whose connection broke before the answer was whole, by whether a part of it had come.",
		}, []string{"part"}),
		outlived: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_outlived_losses_total",
			Help: "Lost sends whose endpoint kept other connections: it may have lost an answer only.",
		}),
		quarantined: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_quarantined_total",
			Help: "Exchanges that were not sent, or not sent on, since their request crashes endpoints.",
		}),
		leftToLapse: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_left_to_lapse_total",
			Help: "Room and read prompts at endpoints that were left to lapse since too many were being freed.",
		}),
		limitWords: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_limit_words_total",
			Help: "Answers that changed what is known of their endpoint's limit, or named none that can be read, by what they said.",
		}, []string{"said"}),
		limitedSends: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_limited_sends_total",
			Help: "Sends to endpoints that were known to name a limit, by what they were for.",
		}, []string{"kind"}),
		limitDenied: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_limit_denied_total",
			Help: "Sends that were not made to an endpoint since it names a limit, by why there was no leave.",
		}, []string{"why"}),
		unwantedWords: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_unwanted_words_total",
			Help: "Answers by which an endpoint asked this entry for rest, or told it anew that it leaves.",
		}, []string{"said"}),
		unwantedSends: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_unwanted_sends_total",
			Help: "Sends to endpoints that were known to rest or to leave, by why and by what they were for.",
		}, []string{"why", "kind"}),
		running: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_relay_running_exchanges",
			Help: "Exchanges in flight.",
		}),
	}
}

// The ends of an exchange that are not a refusal's verdict.
const (
	endAnswered  = "answered"
	endFailure   = "failure-passed-on"
	endBrokenOff = "broken-off"
)

func (m *metrics) end(l *life, refusal *Refusal) {
	kind := l.route.Kind.String()
	if !l.progress.firstAt.IsZero() {
		m.firstPart.WithLabelValues(kind).Observe(l.progress.firstAt.Sub(l.x.Received).Seconds())
	}
	m.ended.WithLabelValues(kind, l.endName(refusal)).Inc()
	if l.suspicion.quarantinedFor > 0 {
		m.quarantined.Inc()
	}
}

func (l *life) endName(refusal *Refusal) string {
	switch {
	case refusal != nil:
		return refusal.Verdict.String()
	case l.aborted:
		return endBrokenOff
	case l.last != dispatch.OutcomeServed:
		return endFailure
	}
	return endAnswered
}

// noRouteKind is the kind label of what no route leads to.
const noRouteKind = "none"

func (m *metrics) refused(refusal *Refusal) *Refusal {
	m.ended.WithLabelValues(noRouteKind, refusal.Verdict.String()).Inc()
	return refusal
}

func (m *metrics) waited(since time.Time) { m.placeWait.Observe(time.Since(since).Seconds()) }
