package outcome

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// join adds a process: a new instance, or a new incarnation of a crashed one without
// its records.
func (w *world) join() {
	if len(w.state.view.Instances) >= 6 {
		return
	}
	id := fleet.InstanceID(fmt.Sprint("entry-", w.random.IntN(7)))
	if _, live := w.state.view.Instances[id]; live {
		return
	}
	incarnation := fleet.Incarnation(1)
	for _, n := range w.nodes {
		if n.self.Instance == id {
			n.crashed = true
			incarnation = max(incarnation, n.self.Incarnation+1)
		}
	}
	self := fleet.Owner{Instance: id, Incarnation: incarnation}
	n := &modelNode{self: self, replica: NewReplica(self, DefaultLimits), state: &modelState{}}
	w.nodes = append(w.nodes, n)
	w.publish(func(s *modelState) {
		s.view.Instances[id] = fleet.Instance{ID: id, Incarnation: incarnation, Entry: true}
	})
	for class, g := range w.state.groups {
		if g.Epoch != 0 && len(g.Replicas) < fleet.LedgerReplicas {
			w.regroup(class, fleet.Owner{})
		}
	}
}

func (w *world) publish(edit func(*modelState)) {
	next := &modelState{index: w.state.index + 1, groups: w.state.groups, class: w.state.class, former: w.state.former}
	next.view = fleet.View{Number: next.index, Instances: make(map[fleet.InstanceID]fleet.Instance)}
	maps.Copy(next.view.Instances, w.state.view.Instances)
	edit(next)
	w.state = next
}

// removeFromView removes a process from the view. It has crashed, or it is isolated and
// continues with outdated state, possibly after a freeze.
func (w *world) removeFromView() {
	n := w.pick()
	if n.removed || n.crashed || !w.state.view.Contains(n.self) || len(w.state.view.Instances) <= 3 {
		return
	}
	n.removed = true
	switch w.random.IntN(3) {
	case 0:
		n.crashed = true
	case 1:
		n.frozen = true
	}
	w.publish(func(s *modelState) { delete(s.view.Instances, n.self.Instance) })
	for class, g := range w.state.groups {
		if holds(g.Replicas, n.self) {
			w.regroup(class, fleet.Owner{})
		}
	}
}

// changeZones switches the team to its other set of permitted zones.
func (w *world) changeZones() {
	w.publish(func(s *modelState) {
		left := modelZones[s.class].Class()
		if !slices.Contains(s.former, left) {
			s.former = append(slices.Clone(s.former), left)
		}
		s.class = 1 - s.class
	})
}

// regroup moves the shard to its next epoch: live replicas stay, except for the drained
// one, and other processes fill the free places.
func (w *world) regroup(class int, drained fleet.Owner) {
	w.publish(func(s *modelState) {
		old := s.groups[class]
		old.Shard = modelShard(class)
		var owners []fleet.Owner
		for _, r := range old.Replicas {
			if s.view.Contains(r.Owner) && r.Owner != drained {
				owners = append(owners, r.Owner)
			}
		}
		next, lost := nextGroup(old, s.view, w.fillReplicas(owners, s.view, drained), w.now)
		w.audit.historyLost = w.audit.historyLost || lost
		s.groups[class] = next
	})
}

func (w *world) fillReplicas(owners []fleet.Owner, view fleet.View, drained fleet.Owner) []fleet.Owner {
	start := w.random.IntN(len(w.nodes))
	for n := range w.nodes {
		o := w.nodes[(start+n)%len(w.nodes)].self
		if len(owners) < fleet.LedgerReplicas && view.Contains(o) && o != drained && !slices.Contains(owners, o) {
			owners = append(owners, o)
		}
	}
	return owners
}

func holds(replicas []fleet.LedgerReplica, o fleet.Owner) bool {
	return slices.ContainsFunc(replicas, func(r fleet.LedgerReplica) bool { return r.Owner == o })
}

func allReady(replicas []fleet.LedgerReplica) bool {
	return !slices.ContainsFunc(replicas, func(r fleet.LedgerReplica) bool { return !r.Ready })
}

func (w *world) markReady(o fleet.Owner, class int, epoch uint64) {
	if w.state.groups[class].Epoch != epoch || !w.state.view.Contains(o) {
		return
	}
	w.publish(func(s *modelState) {
		s.groups[class].Replicas = markedReady(s.groups[class].Replicas, o)
	})
}

// drain replaces a live replica of a group whose replicas are all ready.
func (w *world) drain() {
	class := w.state.class
	g := w.state.groups[class]
	if len(g.Replicas) < fleet.LedgerReplicas || len(w.state.view.Instances) <= fleet.LedgerReplicas || !allReady(g.Replicas) {
		return
	}
	w.regroup(class, g.Replicas[w.random.IntN(len(g.Replicas))].Owner)
}

// deliverState publishes the latest state to a process, unless the process was removed
// from the view.
func (w *world) deliverState() {
	n := w.pick()
	state := w.state
	if n.removed || n.unresponsive() || state.index <= n.state.index {
		return
	}
	n.state = state
	for _, g := range state.groups {
		if g.Epoch != 0 {
			n.replica.ApplyGroup(g)
		}
	}
	for _, m := range n.active {
		if !m.done && m.epoch != state.groups[m.currentClass()].Epoch && w.random.IntN(2) == 0 {
			w.restart(m)
		}
	}
}

func (w *world) toggleFreeze() {
	n := w.pick()
	if !n.crashed {
		n.frozen = !n.frozen
	}
}

// copyMissing continues the copies of a process and reports its complete shards.
func (w *world) copyMissing() {
	n := w.pick()
	if n.unresponsive() {
		return
	}
	for _, g := range n.replica.CompleteGroups() {
		w.send(func() { w.markReady(n.self, modelClass(g.Shard), g.Epoch) })
	}
	for _, task := range n.replica.CopyTasks() {
		n.replica.TryComplete(task.Shard)
		if len(task.Sources) == 0 {
			continue
		}
		source := task.Sources[w.random.IntN(len(task.Sources))]
		w.copyFrom(n, CopyQuery{Shard: task.Shard, Epoch: task.Epoch, Source: source, Limit: 1})
	}
}

func (w *world) copyFrom(n *modelNode, q CopyQuery) {
	w.send(func() {
		source := w.nodeAt(q.Source.Instance)
		if source == nil || source.unresponsive() {
			return
		}
		page := w.servePage(source, q)
		w.send(func() {
			if n.unresponsive() || !n.replica.Merge(w.now, q, page) {
				return
			}
			if !page.Done {
				last := page.Records[len(page.Records)-1].Key
				next := q
				next.After = &last
				w.copyFrom(n, next)
				return
			}
			s := n.replica.shards[q.Shard]
			if w.fault == faultOneSource && s.member {
				s.completeEpoch = s.epoch
			}
			n.replica.TryComplete(q.Shard)
		})
	})
}

func (w *world) servePage(n *modelNode, q CopyQuery) CopyPage {
	var before uint64
	s := n.replica.shards[q.Shard]
	if s != nil {
		before = s.epoch
	}
	page := n.replica.ServePage(w.now, q)
	if s != nil && w.fault == faultNoSeal {
		s.epoch = before
	}
	return page
}
