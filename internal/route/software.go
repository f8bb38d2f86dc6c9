package route

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// fittingQuery selects the endpoints that an attempt may use: of the required version or, while
// there is none, of a version that engines of the attempt's other role run too.
func (a *attempt) fittingQuery(kind fleet.EndpointRole) endpoint.Query {
	q := a.query(kind)
	if a.software.IsSet() {
		q.Software = []string{a.software.Version()}
		return q
	}
	offered := a.request.router.opts.Follower.CountVersions(a.query(otherRole(kind)))
	q.Software = slices.AppendSeq(make([]string, 0, len(offered)), maps.Keys(offered))
	return q
}

// availableCandidates returns the endpoints that the attempt may use now, as
// Router.availableCandidates does.
func (a *attempt) availableCandidates(ctx context.Context, kind fleet.EndpointRole) (available []endpoint.Candidate, firstEnd time.Duration) {
	query := func() endpoint.Query { return a.fittingQuery(kind) }
	return a.request.router.availableCandidates(ctx, query, a.request.deadline)
}

func otherRole(kind fleet.EndpointRole) fleet.EndpointRole {
	if kind == fleet.RolePrefill {
		return fleet.RoleDecode
	}
	return fleet.RolePrefill
}

// requireSoftware makes the version of the first engine that the attempt holds a slot of that of
// the others.
func (a *attempt) requireSoftware(c endpoint.Candidate) {
	if !a.software.IsSet() {
		a.software = fleet.RequireSoftware(c.Software)
	}
}
