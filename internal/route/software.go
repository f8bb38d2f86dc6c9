package route

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// requiredSoftware is the software version that an attempt's engines must run; the zero value
// requires none. What two versions write, KV caches and output, does not fit together, and
// engines don't check it.
type requiredSoftware struct {
	version string
	set     bool
}

func (s requiredSoftware) allows(c endpoint.Candidate) bool { return !s.set || c.Software == s.version }

// fitting returns the candidates that an attempt may use: of the required version or, while
// there is none, of a version that engines of the attempt's other role run too.
func (a *attempt) fitting(kind fleet.EndpointRole, candidates []endpoint.Candidate) []endpoint.Candidate {
	if a.software.set {
		return slices.DeleteFunc(slices.Clone(candidates), func(c endpoint.Candidate) bool { return !a.software.allows(c) })
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
	if !a.software.set {
		a.software = requiredSoftware{version: c.Software, set: true}
	}
}
