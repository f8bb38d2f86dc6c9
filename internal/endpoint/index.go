package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxCandidates bounds the result of one query: all of a small group, a random
// part of a large one.
const maxCandidates = 16

// indexKey identifies a group of endpoints that can do the same work.
type indexKey struct {
	kind    fleet.EndpointRole
	model   engineapi.ModelRef
	service string
}

// zoneEndpoints are the endpoints of one group in one zone that run one software version.
type zoneEndpoints struct {
	zone      fleet.AvailabilityZone
	software  string
	endpoints []*followedEndpoint
}

func (z *zoneEndpoints) matches(q Query) bool {
	return q.Permitted.Permits(z.zone) && q.allows(z.software)
}

// index is an immutable view of the followed endpoints.
type index struct {
	groups map[indexKey][]zoneEndpoints
	byID   map[fleet.EndpointID]*followedEndpoint
}

func newIndex(endpoints map[fleet.EndpointID]*followedEndpoint) *index {
	x := &index{groups: make(map[indexKey][]zoneEndpoints), byID: endpoints}
	for _, r := range endpoints {
		for _, key := range keysOf(r.static) {
			x.add(key, r)
		}
	}
	return x
}

func keysOf(c Candidate) []indexKey {
	if c.Role == fleet.RolePlain {
		return []indexKey{{kind: fleet.RolePlain, service: c.Service}}
	}
	var keys []indexKey
	for _, kind := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode} {
		if !c.Role.Takes(kind) {
			continue
		}
		for _, m := range c.Models {
			keys = append(keys, indexKey{kind: kind, model: m})
		}
	}
	return keys
}

func (x *index) add(key indexKey, r *followedEndpoint) {
	zones := x.groups[key]
	for n := range zones {
		if zones[n].zone == r.static.Zone && zones[n].software == r.static.Software {
			zones[n].endpoints = append(zones[n].endpoints, r)
			return
		}
	}
	x.groups[key] = append(zones, zoneEndpoints{
		zone:      r.static.Zone,
		software:  r.static.Software,
		endpoints: []*followedEndpoint{r},
	})
}

func (x *index) group(q Query) []zoneEndpoints {
	return x.groups[indexKey{kind: q.Kind, model: q.Model, service: q.Service}]
}

// countVersions returns how many usable endpoints in permitted zones run each allowed version.
func (x *index) countVersions(now time.Time, q Query) map[string]int {
	counts := make(map[string]int, 1)
	for _, z := range x.group(q) {
		if !z.matches(q) {
			continue
		}
		if usable := countUsable(now, q, z.endpoints); usable > 0 {
			counts[z.software] += usable
		}
	}
	return counts
}

func countUsable(now time.Time, q Query, endpoints []*followedEndpoint) int {
	usable := 0
	for _, e := range endpoints {
		if _, ok := e.usable(now); ok && !q.excludes(e.static.ID) {
			usable++
		}
	}
	return usable
}

// find returns the endpoint with an ID if it is usable.
func (x *index) find(now time.Time, id fleet.EndpointID) (found Candidate, ok bool) {
	if e, known := x.byID[id]; known {
		ok = e.fill(now, &found)
	}
	return found, ok
}

// candidates returns up to maxCandidates endpoints of allowed versions in permitted zones. Each
// zone and version contributes in proportion to its size, from a random start.
func (x *index) candidates(now time.Time, q Query) []Candidate {
	zones := x.group(q)
	total := 0
	for n := range zones {
		if zones[n].matches(q) {
			total += len(zones[n].endpoints)
		}
	}
	if total == 0 {
		return nil
	}
	list := make([]Candidate, min(total, maxCandidates))
	filled := 0
	for n := range zones {
		if zones[n].matches(q) {
			filled += fillFromZone(now, q, zones[n].endpoints, total, list[filled:])
		}
	}
	return list[:filled]
}

// fillFromZone writes the part of the result that one zone and version contributes and returns
// how many it wrote.
func fillFromZone(now time.Time, q Query, endpoints []*followedEndpoint, total int, into []Candidate) int {
	part := len(endpoints)
	if total > maxCandidates {
		part = (len(endpoints)*maxCandidates + total - 1) / total
	}
	start := rand.IntN(len(endpoints))
	filled := 0
	for n := 0; n < len(endpoints) && filled < min(part, len(into)); n++ {
		e := endpoints[(start+n)%len(endpoints)]
		if !q.excludes(e.static.ID) && e.fill(now, &into[filled]) {
			filled++
		}
	}
	return filled
}
