package follower

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the follower's metrics.
type metrics struct {
	latestKnown  prometheus.Gauge
	inForce      prometheus.Gauge
	document     prometheus.Histogram
	received     prometheus.Counter
	failedBlocks prometheus.Counter
}

func newMetrics(to prometheus.Registerer) *metrics {
	with := promauto.With(to)
	return &metrics{
		latestKnown: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_follower_known_version",
			Help: "Newest version of the configuration that a control instance has told.",
		}),
		inForce: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_follower_version",
			Help: "Version of the configuration that is in force here.",
		}),
		document: with.NewHistogram(prometheus.HistogramOpts{
			Name:    "hyssopsail_follower_document_seconds",
			Help:    "Time from when a version was known here until it was in force.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		received: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_follower_block_bytes_total",
			Help: "Bytes of compressed blocks of configurations that came.",
		}),
		failedBlocks: with.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_follower_given_up_blocks_total",
			Help: "Blocks that were asked for and didn't come.",
		}),
	}
}
