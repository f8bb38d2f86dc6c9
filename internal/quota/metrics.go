package quota

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// The results of questions for a part of a quota.
const (
	resultTaken = "taken"
	resultSpent = "spent"
)

// mostTeams bounds the teams that have metrics of their own; the rest share
// otherTeams, so that thousands of teams don't make thousands of series.
const (
	mostTeams  = 100
	otherTeams = "others"
)

// metrics are those of a keeper.
type metrics struct {
	asked *prometheus.CounterVec

	mu    sync.Mutex
	named map[string]bool // teams with metrics of their own
}

func newMetrics(to prometheus.Registerer) *metrics {
	return &metrics{
		asked: promauto.With(to).NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_quota_asked_total",
			Help: "Questions of entries for a part of a team's quota, by team and result.",
		}, []string{"team", "result"}),
		named: map[string]bool{},
	}
}

func (m *metrics) count(team string, taken Taken) {
	result := resultTaken
	if taken.Grant == 0 {
		result = resultSpent
	}
	m.asked.WithLabelValues(m.label(team), result).Inc()
}

func (m *metrics) label(team string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.named[team] && len(m.named) >= mostTeams {
		return otherTeams
	}
	m.named[team] = true
	return team
}
