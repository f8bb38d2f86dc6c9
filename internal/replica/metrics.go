package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
)

// metrics are those of one Node.
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
	m := &metrics{
		term:          gauge("hyssopsail_replica_term_number", "Current term."),
		leader:        gauge("hyssopsail_replica_leader_info", "1 while this member leads."),
		committed:     gauge("hyssopsail_replica_commit_index", "Last committed entry."),
		applied:       gauge("hyssopsail_replica_applied_index", "Last applied entry."),
		storageFailed: gauge("hyssopsail_replica_storage_failed_info", "1 after the disk failed."),
		save:          histogram("hyssopsail_replica_save_seconds", "Write and sync of one batch."),
		commit:        histogram("hyssopsail_replica_commit_seconds", "From proposal to applied."),
	}
	if registerer != nil {
		registerer.MustRegister(m.term, m.leader, m.committed, m.applied, m.storageFailed, m.save, m.commit)
	}
	return m
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
	})
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
