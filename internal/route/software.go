package route

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// fitting returns the candidates that an attempt may use: of the required version or, while
// there is none, of a version that engines of the attempt's other role run too.
func (a *attempt) fitting(kind fleet.EndpointRole, candidates []endpoint.Candidate) []endpoint.Candidate {
	if a.software.IsSet() {
		return slices.DeleteFunc(slices.Clone(candidates), func(c endpoint.Candidate) bool { return !a.software.Allows(c.Software) })
	}
	others := a.request.router.opts.Follower.Candidates(a.query(otherRole(kind)))
	return slices.DeleteFunc(slices.Clone(candidates), func(c endpoint.Candidate) bool {
		return !slices.ContainsFunc(others, func(o endpoint.Candidate) bool { return o.Software == c.Software })
	})
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
