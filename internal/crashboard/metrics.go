package crashboard

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// boardMetrics are the metrics of a control instance.
type boardMetrics struct {
	losses prometheus.Counter
	known  prometheus.Gauge
	parts  prometheus.Gauge
}

func newBoardMetrics(to prometheus.Registerer) *boardMetrics {
	with := promauto.With(to)
	return &boardMetrics{
		losses: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_crash_board_losses_total",
			Help: "Runs that ended with their endpoint's connections, as entries report them.",
		}),
		known: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_crash_board_requests",
			Help: "Requests of which this control instance knows such a run.",
		}),
		parts: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_crash_board_parts",
			Help: "Parts of prompts, for each kind of endpoint, of which this control instance knows such a run.",
		}),
	}
}

func (m *boardMetrics) recordReport(losses, known, parts int) {
	m.losses.Add(float64(losses))
	m.known.Set(float64(known))
	m.parts.Set(float64(parts))
}

// clientMetrics are the metrics of an entry.
type clientMetrics struct {
	failedReports prometheus.Counter
	quarantined   prometheus.Counter
	refusedParts  prometheus.Counter
	partTrials    prometheus.Counter
}

func newClientMetrics(to prometheus.Registerer) *clientMetrics {
	with := promauto.With(to)
	return &clientMetrics{
		failedReports: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_crash_reports_failed_total",
			Help: "Reports on requests that may crash endpoints which a control instance did not take.",
		}),
		quarantined: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_crash_quarantined_total",
			Help: "Requests that this entry has begun to refuse since they crash endpoints.",
		}),
		refusedParts: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_crash_refused_parts_total",
			Help: "Parts of prompts that this entry has begun to refuse since they crash endpoints.",
		}),
		partTrials: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_crash_part_trials_total",
			Help: "Requests that this entry sent as trials of a part of their prompts that is refused.",
		}),
	}
}
