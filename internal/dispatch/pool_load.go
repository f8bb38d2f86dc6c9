package dispatch

import (
	"math"
	"time"
)

// poolKey names the endpoints of a service that serve the same stage.
type poolKey struct {
	service string
	stage   Stage
}

// pool is what one entry knows of a pool of endpoints as a whole.
type pool struct {
	load   poolLoad
	calls  int     // recorded ones
	workNs float64 // mean work of a call without its wait, ns
}

// poolOf returns the pool of an endpoint. The caller must hold stats.mu.
func (stats *EndpointStats) poolOf(e *Endpoint) *pool {
	key := poolKey{service: e.Service, stage: e.Stage}
	p := stats.pools[key]
	if p == nil {
		p = &pool{}
		stats.pools[key] = p
	}
	return p
}

// poolLoad is the mean load of a pool's endpoints by the loads that they reported lately.
//
// Load pattern: many entries share a few endpoints, and each entry receives the load of an
// endpoint once a second while that load changes within tenths of a second. The loads of all
// endpoints together are recent, and are the best estimate for an endpoint whose own report
// is old.
type poolLoad struct {
	perSlot    float64 // requests running and waiting, per slot
	reportedAt time.Time
}

const (
	// poolLoadAveraging is the time over which reported loads are averaged.
	poolLoadAveraging = 300 * time.Millisecond
	// poolLoadMinInterval is the least time that a report counts for, since reports that
	// arrive together come from different endpoints.
	poolLoadMinInterval = 50 * time.Millisecond
)

// record adds the load that one endpoint reported.
func (p *poolLoad) record(now time.Time, l ReportedLoad) {
	weight := 1.0
	if !p.reportedAt.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(p.reportedAt)+poolLoadMinInterval)/float64(poolLoadAveraging))
	}
	p.perSlot += weight * (l.perSlot() - p.perSlot)
	p.reportedAt = now
}

// at returns the estimate of the mean load per slot, which fades with its age.
func (p *poolLoad) at(now time.Time) float64 {
	if p.reportedAt.IsZero() {
		return 0
	}
	return p.perSlot * freshness(now.Sub(p.reportedAt))
}

// freshness returns the weight of a reported load of the given age, from 1 to 0.
func freshness(age time.Duration) float64 {
	switch {
	case age <= 0:
		return 1
	case age > 4*reportedLoadHalfLife:
		return 0
	}
	return float64(reportedLoadHalfLife) / float64(reportedLoadHalfLife+age)
}
