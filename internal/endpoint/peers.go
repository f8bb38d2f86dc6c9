package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// peers keeps the last digest list of each followed home and merges them.
// Pure.
//
// The failure: a list or digest comes late, crossed with a newer one, or from
// a home's earlier process, and an endpoint that is dead, has left or has been
// restarted is used again. The guards: a list is taken only when it is newer
// in the order of the same home process, or from a later one; it is whole, so
// what it lacks is gone; a brief list changes figures of the set that its
// static version names, and adds nothing.
type peers struct {
	homes map[fleet.InstanceID]*peer
}

// peer is one followed home.
type peer struct {
	owner    fleet.Owner
	sequence uint64
	statics  uint64
	caches   uint64
	heard    time.Time
	rows     map[fleet.EndpointID]*row
	order    []*row // as in the last whole list
}

func newPeers() *peers { return &peers{homes: make(map[fleet.InstanceID]*peer)} }

// versions gives what to ask a home for.
func (p *peers) versions(owner fleet.Owner) (statics, caches uint64) {
	h, ok := p.homes[owner.Instance]
	if !ok || h.owner != owner {
		return 0, 0
	}
	return h.statics, h.caches
}

// take merges a whole list; changed tells whether the index has to be made
// anew.
func (p *peers) take(now time.Time, asked fleet.Owner, reply *pb.DigestReply) (changed bool) {
	owner := fleet.OwnerFromProto(reply.GetHome())
	if owner != asked {
		return false
	}
	h, ok := p.homes[owner.Instance]
	if ok && (owner.Incarnation < h.owner.Incarnation || (owner == h.owner && reply.GetSequence() <= h.sequence)) {
		return false
	}
	if !ok || h.owner != owner {
		h = &peer{owner: owner}
		p.homes[owner.Instance] = h
		changed = true
	}
	return h.merge(now, reply) || changed
}

func (h *peer) merge(now time.Time, reply *pb.DigestReply) (changed bool) {
	h.sequence = reply.GetSequence()
	if h.statics != 0 && reply.GetStaticVersion() == h.statics && len(reply.GetDigests()) == len(h.order) {
		h.mergeBrief(now, reply)
		return false
	}
	return h.mergeWhole(now, reply)
}

// mergeBrief takes figures by their places: the static version says that the
// set of endpoints is as it was.
func (h *peer) mergeBrief(now time.Time, reply *pb.DigestReply) {
	for n, d := range reply.GetDigests() {
		d.Sequence = reply.GetSequence()
		h.order[n].update(now, d, h.order[n].fixed.Incarnation)
	}
	h.heard, h.caches = now, reply.GetCacheVersion()
}

func (h *peer) mergeWhole(now time.Time, reply *pb.DigestReply) (changed bool) {
	rows := make(map[fleet.EndpointID]*row, len(reply.GetDigests()))
	order := make([]*row, 0, len(reply.GetDigests()))
	whole := true
	for _, d := range reply.GetDigests() {
		if d.GetBrief() || len(order) >= maxEndpoints {
			whole = false
			continue
		}
		r := h.rowFor(d)
		r.update(now, d, fleet.Incarnation(d.GetIncarnation()))
		rows[r.fixed.ID] = r
		order = append(order, r)
	}
	h.rows, h.order, h.heard = rows, order, now
	h.statics, h.caches = reply.GetStaticVersion(), reply.GetCacheVersion()
	if !whole {
		h.statics, h.caches = 0, 0 // ask for all next time
	}
	return true
}

// rowFor makes the row of a digest; a known incarnation goes on counting.
func (h *peer) rowFor(d *pb.EndpointDigest) *row {
	next := newRow(d, h.owner)
	old, ok := h.rows[next.fixed.ID]
	if ok && old.fixed.Incarnation == next.fixed.Incarnation {
		next.figures.Store(old.figures.Load())
		next.underway.Store(old.underway.Load())
	}
	return next
}

// keep drops homes that are no longer followed; it tells whether any was.
func (p *peers) keep(followed map[fleet.InstanceID]fleet.Owner) (dropped bool) {
	for id, h := range p.homes {
		if owner, ok := followed[id]; !ok || owner != h.owner {
			delete(p.homes, id)
			dropped = true
		}
	}
	return dropped
}

// rows merges all homes. An endpoint that two of them list, while it moves,
// is taken from the one with the later incarnation, or heard of last.
func (p *peers) rows() map[fleet.EndpointID]*row {
	all := make(map[fleet.EndpointID]*row)
	heard := make(map[fleet.EndpointID]time.Time)
	for _, h := range p.homes {
		for id, r := range h.rows {
			old, ok := all[id]
			if ok && old.fixed.Incarnation > r.fixed.Incarnation {
				continue
			}
			if ok && old.fixed.Incarnation == r.fixed.Incarnation && heard[id].After(h.heard) {
				continue
			}
			all[id], heard[id] = r, h.heard
		}
	}
	return all
}

// followed chooses the homes to follow out of the view's entries: half of them
// from the own zone, the rest spread over the other zones, since teams may be
// permitted elsewhere only. With few entries it is all.
func followed(self fleet.Instance, view fleet.View, limit int) []fleet.Instance {
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
