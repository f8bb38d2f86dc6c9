package endpoint

import "github.com/prometheus/client_golang/prometheus"

type followerMetrics struct {
	failedPolls     prometheus.Counter
	acquisitions    *prometheus.CounterVec
	droppedReleases prometheus.Counter
	renewals        prometheus.Counter
	staleHomes      prometheus.Counter
}

func newFollowerMetrics(r prometheus.Registerer) *followerMetrics {
	m := &followerMetrics{
		failedPolls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_follower_failed_polls_total", Help: "Homes that didn't answer a poll.",
		}),
		acquisitions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_follower_takes_total", Help: "Slots asked for, by how it ended.",
		}, []string{"outcome"}),
		droppedReleases: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_follower_dropped_releases_total", Help: "Releases left to the home's own bounds: too many waited, or the home didn't confirm in time.",
		}),
		renewals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_follower_renewals_total", Help: "Grants renewed before the endpoint had confirmed them.",
		}),
		staleHomes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopsail_follower_distrusted_homes_total", Help: "Homes whose endpoints were set aside since a call to them failed.",
		}),
	}
	if r != nil {
		r.MustRegister(m.failedPolls, m.acquisitions, m.droppedReleases, m.renewals, m.staleHomes)
	}
	return m
}
