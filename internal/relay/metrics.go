package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// metrics holds the router's metrics; label values come from fixed sets.
type metrics struct {
	ended         *prometheus.CounterVec
	firstPart     *prometheus.HistogramVec
	attempts      *prometheus.CounterVec
	placementWait prometheus.Histogram
	noMemory      prometheus.Counter
	prefillTime   prometheus.Histogram
	prefillModes  *prometheus.CounterVec
	running       prometheus.Gauge
	// resumedStreams counts endpoints that continued a stream which another one began.
	resumedStreams *prometheus.CounterVec
	// refusedResumptions counts refusals of exchanges whose callers have a part of the answer.
	refusedResumptions *prometheus.CounterVec
	extraArrivals      *prometheus.CounterVec
	// retriesDenied counts attempts that were not made because the retry budget was spent.
	retriesDenied prometheus.Counter
	// lostAttempts counts attempts whose connection broke before the answer was complete.
	lostAttempts *prometheus.CounterVec
	// outlivedLosses counts those whose endpoint kept running.
	outlivedLosses prometheus.Counter
	// linkLosses counts those whose link to the endpoint was lost.
	linkLosses  prometheus.Counter
	quarantined prometheus.Counter
	// partRefusals counts exchanges that were refused for a part of their prompts.
	partRefusals prometheus.Counter
	// closeDelimited counts answers whose body ends with the connection.
	closeDelimited *prometheus.CounterVec
	// darkLosses counts runs without an answer whose endpoint's status reports stopped as well.
	darkLosses prometheus.Counter
	// abandonedRuns counts runs whose endpoints were asked to end them.
	abandonedRuns *prometheus.CounterVec
	// answerEnds counts the ends of their connections.
	answerEnds *prometheus.CounterVec
	// leftToExpire counts releases that were skipped because the releaser had no free slot.
	leftToExpire prometheus.Counter
	// limitSignals counts answers that changed what is known of their endpoint's limit, or
	// that named an unreadable one.
	limitSignals    *prometheus.CounterVec
	limitedAttempts *prometheus.CounterVec
	// limitDenied counts attempts that were not made because of an endpoint's limit.
	limitDenied     *prometheus.CounterVec
	unwantedSignals *prometheus.CounterVec
	// unwantedAttempts counts attempts to endpoints known to be in cooldown or leaving.
	unwantedAttempts *prometheus.CounterVec
}

// answerBuckets range from a plain call's answer to the longest CallerTimeout, in seconds.
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
		attempts: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_sends_total",
			Help: "Sends of exchanges to endpoints by what came of them.",
		}, []string{"outcome"}),
		placementWait: with.NewHistogram(prometheus.HistogramOpts{
			Name: "hyssopsail_relay_place_wait_seconds", Buckets: answerBuckets,
			Help: "Time that model requests waited for memory at an endpoint.",
		}),
		noMemory: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_no_room_total",
			Help: "Questions for memory that an endpoint had none for.",
		}),
		prefillTime: with.NewHistogram(prometheus.HistogramOpts{
			Name: "hyssopsail_relay_prefill_seconds", Buckets: answerBuckets,
			Help: "Time that prefills took, waits included.",
		}),
		prefillModes: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_prompts_total",
			Help: "Prompts by where they were read.",
		}, []string{"place"}),
		extraArrivals: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_extra_arrivals_total",
			Help: "Arrivals at endpoints beyond the first of an exchange, by what came of the one before.",
		}, []string{"cause"}),
		retriesDenied: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_extra_refused_total",
			Help: "Sends that were not made since they would have been one arrival too many for the fleet.",
		}),
		lostAttempts: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_lost_sends_total",
			Help: "Sends whose connection broke before the answer was whole, by whether a part of it had come.",
		}, []string{"part"}),
		outlivedLosses: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_outlived_losses_total",
			Help: "Lost sends whose endpoint kept other connections: it may have lost an answer only.",
		}),
		linkLosses: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_link_losses_total",
			Help: "Lost sends after which the endpoint's machine did not answer a new connection: the link was lost.",
		}),
		quarantined: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_quarantined_total",
			Help: "Exchanges that were not sent, or not sent on, since their request crashes endpoints.",
		}),
		partRefusals: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_part_refusals_total",
			Help: "Exchanges that were not sent, or not sent on, since a part of their prompt crashes endpoints.",
		}),
		darkLosses: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_dark_losses_total",
			Help: "Runs without an answer whose endpoint fell silent: its machine went down without closing connections.",
		}),
		abandonedRuns: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_abandoned_runs_total",
			Help: "Runs that an endpoint was asked to end, since their connection went silent and they go on elsewhere, by whether it did.",
		}, []string{"result"}),
		answerEnds: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_close_delimited_ends_total",
			Help: "Ends of connections that delimit an answer, by what was found out: the answer is complete, cut, or unknown, which counts as cut.",
		}, []string{"end"}),
		closeDelimited: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_close_delimited_answers_total",
			Help: "Answers with neither a length nor chunks, which end with their connection, by what came of them.",
		}, []string{"outcome"}),
		leftToExpire: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_relay_left_to_lapse_total",
			Help: "Room and read prompts at endpoints that were left to lapse since too many were being freed.",
		}),
		limitSignals: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_limit_words_total",
			Help: "Answers that changed what is known of their endpoint's limit, or named none that can be read, by what they said.",
		}, []string{"said"}),
		limitedAttempts: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_limited_sends_total",
			Help: "Sends to endpoints that were known to name a limit, by what they were for.",
		}, []string{"kind"}),
		limitDenied: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_limit_denied_total",
			Help: "Sends that were not made to an endpoint since it names a limit, by why there was no leave.",
		}, []string{"why"}),
		unwantedSignals: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_unwanted_words_total",
			Help: "Answers by which an endpoint asked this entry for rest, or told it anew that it leaves.",
		}, []string{"said"}),
		unwantedAttempts: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_unwanted_sends_total",
			Help: "Sends to endpoints that were known to rest or to leave, by why and by what they were for.",
		}, []string{"why", "kind"}),
		resumedStreams: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_resumed_streams_total",
			Help: "Streams that an endpoint continued after another one, by who resumed them (entry, caller) and by the software version (same, other, unknown).",
		}, []string{"by", "software"}),
		refusedResumptions: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_relay_refused_resumptions_total",
			Help: "Streams that callers resume and that were refused, by why (no-version, no-room, no-time, unknown-origin and others).",
		}, []string{"cause"}),
		running: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_relay_running_exchanges",
			Help: "Exchanges in flight.",
		}),
	}
}

// Ends of an exchange other than a refusal's verdict, used as label values.
const (
	endAnswered  = "answered"
	endFailure   = "failure-passed-on"
	endBrokenOff = "broken-off"
)

func (m *metrics) observeEnd(ex *activeExchange, refusal *Refusal) {
	kind := ex.route.Kind.String()
	if !ex.progress.firstAt.IsZero() {
		m.firstPart.WithLabelValues(kind).Observe(ex.progress.firstAt.Sub(ex.exchange.Received).Seconds())
	}
	m.ended.WithLabelValues(kind, ex.endName(refusal)).Inc()
	if refusal != nil && isResumption(ex.exchange, ex.route) {
		m.refusedResumptions.WithLabelValues(string(ex.refusalCause)).Inc()
	}
	if ex.crashes.quarantinedFor > 0 {
		m.quarantined.Inc()
	}
	if ex.parts.refusal.Refused {
		m.partRefusals.Inc()
	}
}

func (ex *activeExchange) endName(refusal *Refusal) string {
	switch {
	case refusal != nil:
		return refusal.Verdict.String()
	case ex.aborted:
		return endBrokenOff
	case ex.lastOutcome != dispatch.OutcomeServed:
		return endFailure
	}
	return endAnswered
}

// noRouteKind is the kind label of exchanges without a route.
const noRouteKind = "none"

func (m *metrics) countRefused(refusal *Refusal) *Refusal {
	m.ended.WithLabelValues(noRouteKind, refusal.Verdict.String()).Inc()
	return refusal
}

func (m *metrics) observePlacementWait(since time.Time) {
	m.placementWait.Observe(time.Since(since).Seconds())
}
