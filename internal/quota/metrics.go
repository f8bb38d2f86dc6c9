package quota

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the label result.
const (
	resultTaken     = "taken"
	resultExhausted = "spent"
)

// maxTeamLabels limits the teams that have metric series of their own; the others share
// otherTeams, so that thousands of teams don't create thousands of series.
const (
	maxTeamLabels = 100
	otherTeams    = "others"
)

// metrics are the metrics of a quota server.
type metrics struct {
	requests *prometheus.CounterVec

	mu       sync.Mutex
	labelled map[string]bool // teams that have series of their own
}

func newMetrics(to prometheus.Registerer) *metrics {
	return &metrics{
		requests: promauto.With(to).NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_quota_asked_total",
			Help: "Questions of entries for a part of a team's quota, by team and result.",
		}, []string{"team", "result"}),
		labelled: map[string]bool{},
	}
}

func (m *metrics) count(team string, taken TakeResult) {
	result := resultTaken
	if taken.Grant == 0 {
		result = resultExhausted
	}
	m.requests.WithLabelValues(m.label(team), result).Inc()
}

func (m *metrics) label(team string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labelled[team] && len(m.labelled) >= maxTeamLabels {
		return otherTeams
	}
	m.labelled[team] = true
	return team
}
