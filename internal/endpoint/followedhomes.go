package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// followedHomes keeps the last digest list of each followed home and merges
// them. It does no I/O.
//
// A list or digest that arrives late, after a newer one, or from an earlier
// process of a home must not make an endpoint usable again that is dead, has
// left or was restarted. So a list is accepted only if it is newer in the order
// of the same home process, or from a later process. A full list is complete,
// so endpoints that it lacks are removed. A brief list updates the dynamic data
// of the set that its static version names, and adds nothing.
type followedHomes struct {
	homes map[fleet.InstanceID]*followedHome
}

// followedHome is the last digest list of one home.
type followedHome struct {
	owner         fleet.Owner
	sequence      uint64
	staticVersion uint64
	cacheVersion  uint64
	updatedAt     time.Time
	endpoints     map[fleet.EndpointID]*followedEndpoint
	order         []*followedEndpoint // as in the last full list
}

func newFollowedHomes() *followedHomes {
	return &followedHomes{homes: make(map[fleet.InstanceID]*followedHome)}
}

// versions returns the versions to send in the next request to a home.
func (f *followedHomes) versions(owner fleet.Owner) (staticVersion, cacheVersion uint64) {
	h, ok := f.homes[owner.Instance]
	if !ok || h.owner != owner {
		return 0, 0
	}
	return h.staticVersion, h.cacheVersion
}

// mergeReply merges a reply; changed reports whether the index must be rebuilt.
func (f *followedHomes) mergeReply(requestedAt time.Time, polled fleet.Owner, reply *pb.DigestReply) (changed bool) {
	owner := fleet.OwnerFromProto(reply.GetHome())
	if owner != polled {
		return false
	}
	h, ok := f.homes[owner.Instance]
	if ok && (owner.Incarnation < h.owner.Incarnation || (owner == h.owner && reply.GetSequence() <= h.sequence)) {
		return false
	}
	if !ok || h.owner != owner {
		h = &followedHome{owner: owner}
		f.homes[owner.Instance] = h
		changed = true
	}
	return h.merge(requestedAt, reply) || changed
}

func (h *followedHome) merge(requestedAt time.Time, reply *pb.DigestReply) (changed bool) {
	h.sequence = reply.GetSequence()
	if h.staticVersion != 0 && reply.GetStaticVersion() == h.staticVersion && len(reply.GetDigests()) == len(h.order) {
		h.mergeBrief(requestedAt, reply)
		return false
	}
	return h.mergeFull(requestedAt, reply)
}

// mergeBrief updates endpoints by their position in the list: the static
// version shows that the set of endpoints is unchanged.
func (h *followedHome) mergeBrief(requestedAt time.Time, reply *pb.DigestReply) {
	for n, d := range reply.GetDigests() {
		d.Sequence = reply.GetSequence()
		h.order[n].update(requestedAt, d, h.order[n].static.Incarnation)
	}
	h.updatedAt, h.cacheVersion = requestedAt, reply.GetCacheVersion()
}

func (h *followedHome) mergeFull(requestedAt time.Time, reply *pb.DigestReply) (changed bool) {
	endpoints := make(map[fleet.EndpointID]*followedEndpoint, len(reply.GetDigests()))
	order := make([]*followedEndpoint, 0, len(reply.GetDigests()))
	complete := true
	for _, d := range reply.GetDigests() {
		if d.GetBrief() || len(order) >= maxEndpoints {
			complete = false
			continue
		}
		r := h.endpointFor(d)
		r.update(requestedAt, d, fleet.Incarnation(d.GetIncarnation()))
		endpoints[r.static.ID] = r
		order = append(order, r)
	}
	h.endpoints, h.order, h.updatedAt = endpoints, order, requestedAt
	h.staticVersion, h.cacheVersion = reply.GetStaticVersion(), reply.GetCacheVersion()
	if !complete {
		h.staticVersion, h.cacheVersion = 0, 0 // request the full list next time
	}
	return true
}

// endpointFor returns the endpoint of a digest. A known incarnation keeps its
// dynamic data and its inFlight count.
func (h *followedHome) endpointFor(d *pb.EndpointDigest) *followedEndpoint {
	next := newFollowedEndpoint(d, h.owner)
	old, ok := h.endpoints[next.static.ID]
	if ok && old.static.Incarnation == next.static.Incarnation {
		next.dynamic.Store(old.dynamic.Load())
		next.inFlight.Store(old.inFlight.Load())
	}
	return next
}

// retain drops homes that are no longer followed and reports whether there were
// any.
func (f *followedHomes) retain(followed map[fleet.InstanceID]fleet.Owner) (dropped bool) {
	for id, h := range f.homes {
		if owner, ok := followed[id]; !ok || owner != h.owner {
			delete(f.homes, id)
			dropped = true
		}
	}
	return dropped
}

// endpoints merges all homes. An endpoint that two of them list while it moves
// is taken from the one with the later incarnation, or the one updated last.
func (f *followedHomes) endpoints() map[fleet.EndpointID]*followedEndpoint {
	all := make(map[fleet.EndpointID]*followedEndpoint)
	updatedAt := make(map[fleet.EndpointID]time.Time)
	for _, h := range f.homes {
		for id, r := range h.endpoints {
			old, ok := all[id]
			if ok && old.static.Incarnation > r.static.Incarnation {
				continue
			}
			if ok && old.static.Incarnation == r.static.Incarnation && updatedAt[id].After(h.updatedAt) {
				continue
			}
			all[id], updatedAt[id] = r, h.updatedAt
		}
	}
	return all
}

// homesToFollow selects the homes to follow from the view's entries: half of
// them from the own zone, the rest spread over the other zones, since teams may
// be permitted only elsewhere. If there are few entries, it selects all.
func homesToFollow(self fleet.Instance, view fleet.View, limit int) []fleet.Instance {
	byZone := make(map[fleet.AvailabilityZone][]fleet.Instance)
	zones := []fleet.AvailabilityZone{}
	count := 0
	for _, i := range fleet.RankInstances(string(self.ID), self.Zone, entriesOf(view)) {
		if _, ok := byZone[i.Zone]; !ok {
			zones = append(zones, i.Zone)
		}
		byZone[i.Zone] = append(byZone[i.Zone], i)
		count++
	}
	list := make([]fleet.Instance, 0, min(count, limit))
	if near := byZone[self.Zone]; len(near) > 0 && count > limit {
		n := min(limit/2, len(near))
		list = append(list, near[:n]...)
		byZone[self.Zone] = near[n:]
	}
	for len(list) < min(count, limit) {
		for _, z := range zones {
			if len(byZone[z]) > 0 && len(list) < limit {
				list = append(list, byZone[z][0])
				byZone[z] = byZone[z][1:]
			}
		}
	}
	return list
}

func entriesOf(view fleet.View) []fleet.Instance {
	list := make([]fleet.Instance, 0, len(view.Instances))
	for _, i := range view.Instances {
		if i.Entry && !i.Draining {
			list = append(list, i)
		}
	}
	return list
}
