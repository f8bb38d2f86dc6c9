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

// zoneEndpoints are the endpoints of one group in one zone.
type zoneEndpoints struct {
	zone      fleet.AvailabilityZone
	endpoints []*followedEndpoint
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
		if zones[n].zone == r.static.Zone {
			zones[n].endpoints = append(zones[n].endpoints, r)
			return
		}
	}
	x.groups[key] = append(zones, zoneEndpoints{zone: r.static.Zone, endpoints: []*followedEndpoint{r}})
}

// candidates returns up to maxCandidates endpoints in permitted zones. Each
// zone contributes in proportion to its size, from a random start.
func (x *index) candidates(now time.Time, q Query) []Candidate {
	zones := x.groups[indexKey{kind: q.Kind, model: q.Model, service: q.Service}]
	total := 0
	for n := range zones {
		if q.Permitted.Permits(zones[n].zone) {
			total += len(zones[n].endpoints)
		}
	}
	if total == 0 {
		return nil
	}
	list := make([]Candidate, min(total, maxCandidates))
	filled := 0
	for n := range zones {
		if q.Permitted.Permits(zones[n].zone) {
			filled += fillFromZone(now, zones[n].endpoints, total, list[filled:])
		}
	}
	return list[:filled]
}

// fillFromZone writes a zone's part of the result and returns how many it
// wrote.
func fillFromZone(now time.Time, endpoints []*followedEndpoint, total int, into []Candidate) int {
	part := len(endpoints)
	if total > maxCandidates {
		part = (len(endpoints)*maxCandidates + total - 1) / total
	}
	start := rand.IntN(len(endpoints))
	filled := 0
	for n := 0; n < len(endpoints) && filled < min(part, len(into)); n++ {
		if endpoints[(start+n)%len(endpoints)].fill(now, &into[filled]) {
			filled++
		}
	}
	return filled
}
