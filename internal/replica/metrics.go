package replica

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
)

// metrics holds the metrics of one Node.
type metrics struct {
	term          prometheus.Gauge
	leader        prometheus.Gauge
	committed     prometheus.Gauge
	applied       prometheus.Gauge
	storageFailed prometheus.Gauge
	save          prometheus.Histogram
	commit        prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	register := promauto.With(registerer) // nil registers nowhere
	gauge := func(name, help string) prometheus.Gauge {
		return register.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	histogram := func(name, help string) prometheus.Histogram {
		buckets := prometheus.ExponentialBuckets(0.0001, 2, 16)
		return register.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
	}
	return &metrics{
		term:          gauge("hyssopsail_replica_term_number", "Current term."),
		leader:        gauge("hyssopsail_replica_leader_info", "1 while this member leads."),
		committed:     gauge("hyssopsail_replica_commit_index", "Last committed entry."),
		applied:       gauge("hyssopsail_replica_applied_index", "Last applied entry."),
		storageFailed: gauge("hyssopsail_replica_storage_failed_info", "1 after the disk failed."),
		save:          histogram("hyssopsail_replica_save_seconds", "Write and sync of one batch."),
		commit:        histogram("hyssopsail_replica_commit_seconds", "From proposal to applied."),
	}
}

func (m *metrics) observe(s consensus.Status) {
	m.term.Set(float64(s.Term))
	m.committed.Set(float64(s.Commit))
	m.applied.Set(float64(s.Applied))
	m.leader.Set(0)
	if s.Role == consensus.Leader {
		m.leader.Set(1)
	}
}
