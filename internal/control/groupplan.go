package control

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// groupPlanner chooses the replica sets of ledger groups for one state of the
// view. docs/design/control.md argues why no decided record is lost.
type groupPlanner struct {
	instances       map[string]*pb.InstanceRecord
	clockUnixMs     int64
	eligibleByClass map[string][]fleet.Instance // by zone class, filled on first use
}

func (m *Machine) newGroupPlanner() *groupPlanner {
	return &groupPlanner{
		instances:       m.instances,
		clockUnixMs:     m.clockUnixMs,
		eligibleByClass: make(map[string][]fleet.Instance),
	}
}

// repair returns the group's next epoch, or g itself and false when its replica
// set stays.
//
// A second replica may fail right after a first one. Records are decided by a
// majority, so a single survivor may lack a decided record; a reader that took a
// missing record for "never run" would let a request run twice. Therefore a new
// replica counts only after it has copied from a majority of the ready ones.
// When too few of these are left to read a majority, history_lost marks the
// group: absent records then mean "unknown".
func (p *groupPlanner) repair(g *pb.LedgerGroup) (next *pb.LedgerGroup, changed bool) {
	alive := p.liveReplicas(g.Replicas)
	keep := alive
	if leaving := p.drainingReplica(g, alive); leaving != nil {
		keep = without(alive, leaving)
	}
	spares := p.chooseReplacements(g, keep)
	if len(alive) == len(g.Replicas) && len(spares) == 0 {
		return g, false
	}
	if len(spares) == 0 {
		keep = alive
	}
	next = &pb.LedgerGroup{
		ZoneClass:         g.ZoneClass,
		Shard:             g.Shard,
		Epoch:             g.Epoch + 1,
		HistoryLostUnixMs: g.HistoryLostUnixMs,
	}
	p.setReplicas(g, next, alive, keep, spares)
	return next, true
}

// setReplicas sets the replicas, sources and history of the next epoch.
func (p *groupPlanner) setReplicas(g, next *pb.LedgerGroup, alive, keep, spares []*pb.LedgerReplica) {
	for _, r := range append(append([]*pb.LedgerReplica{}, keep...), spares...) {
		next.Replicas = append(next.Replicas, proto.Clone(r).(*pb.LedgerReplica))
	}
	if len(g.Replicas) == 0 {
		markAllReady(next)
		next.Complete = len(next.Replicas) <= maxCompleteReplicas
		return
	}
	if len(readyReplicas(alive)) < readQuorum(g) {
		next.HistoryLostUnixMs = p.clockUnixMs
		markAllReady(next)
		next.Complete = len(next.Replicas) <= maxCompleteReplicas
		return
	}
	next.Sources = readyReplicas(g.Replicas)
	if g.Complete {
		next.Sources = readyReplicas(alive)
	}
	next.Complete = g.Complete
}

// maxCompleteReplicas is the number of ready replicas up to which a majority
// contains all of them, so that each holds every decided record.
const maxCompleteReplicas = 2

// readQuorum returns how many of the ready replicas together hold every decided
// record.
func readQuorum(g *pb.LedgerGroup) int {
	if g.Complete {
		return 1
	}
	return len(readyReplicas(g.Replicas))/2 + 1
}

func (p *groupPlanner) liveReplicas(replicas []*pb.LedgerReplica) []*pb.LedgerReplica {
	var alive []*pb.LedgerReplica
	for _, r := range replicas {
		live, ok := p.instances[r.InstanceId]
		if ok && live.Incarnation == r.Incarnation {
			alive = append(alive, r)
		}
	}
	return alive
}

// drainingReplica returns a draining replica to replace, or nil. Only one is
// replaced at a time, and only in a fully replicated group, so that the draining
// replica remains a source of copies.
func (p *groupPlanner) drainingReplica(g *pb.LedgerGroup, alive []*pb.LedgerReplica) *pb.LedgerReplica {
	if len(alive) < fleet.LedgerReplicas || len(alive) < len(g.Replicas) || len(readyReplicas(alive)) < len(alive) {
		return nil
	}
	for _, r := range alive {
		if p.instances[r.InstanceId].Draining {
			return r
		}
	}
	return nil
}

// chooseReplacements chooses instances for the group's vacant replicas: first
// those in zones without a replica, each time by rendezvous rank.
func (p *groupPlanner) chooseReplacements(g *pb.LedgerGroup, keep []*pb.LedgerReplica) []*pb.LedgerReplica {
	free := fleet.LedgerReplicas - len(keep)
	if free <= 0 {
		return nil
	}
	zones := make(map[string]bool)
	taken := make(map[string]bool)
	for _, r := range g.Replicas {
		live, ok := p.instances[r.InstanceId]
		taken[r.InstanceId] = ok && live.Incarnation == r.Incarnation
	}
	for _, r := range keep {
		zones[p.instances[r.InstanceId].AvailabilityZone] = true
	}
	key := g.ZoneClass + "/" + strconv.Itoa(int(g.Shard))
	ranked := fleet.RankInstances(key, "", p.eligibleInstances(g.ZoneClass))
	var chosen []*pb.LedgerReplica
	for _, newZonesOnly := range []bool{true, false} {
		for _, i := range ranked {
			if len(chosen) == free {
				return chosen
			}
			if taken[string(i.ID)] || (newZonesOnly && zones[string(i.Zone)]) {
				continue
			}
			taken[string(i.ID)] = true
			zones[string(i.Zone)] = true
			chosen = append(chosen, &pb.LedgerReplica{InstanceId: string(i.ID), Incarnation: uint64(i.Incarnation)})
		}
	}
	return chosen
}

func (p *groupPlanner) eligibleInstances(class string) []fleet.Instance {
	if found, ok := p.eligibleByClass[class]; ok {
		return found
	}
	permitted := fleet.ParseZoneClass(class)
	found := []fleet.Instance{}
	for _, i := range p.instances {
		if i.Entry && !i.Draining && permitted.Permits(fleet.AvailabilityZone(i.AvailabilityZone)) {
			found = append(found, fleet.InstanceFromProto(i))
		}
	}
	p.eligibleByClass[class] = found
	return found
}

func readyReplicas(replicas []*pb.LedgerReplica) []*pb.LedgerReplica {
	var found []*pb.LedgerReplica
	for _, r := range replicas {
		if r.Ready {
			found = append(found, r)
		}
	}
	return found
}

func without(replicas []*pb.LedgerReplica, removed *pb.LedgerReplica) []*pb.LedgerReplica {
	var rest []*pb.LedgerReplica
	for _, r := range replicas {
		if r != removed {
			rest = append(rest, r)
		}
	}
	return rest
}

func markAllReady(g *pb.LedgerGroup) {
	for _, r := range g.Replicas {
		r.Ready = true
	}
}
