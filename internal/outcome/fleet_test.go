package outcome

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

var testZones = fleet.NewZoneSet("howrah", "barasat", "durgapur")

const testTeam fleet.Team = "sutokatha"

// settingsTree returns settings that permit the test's team these zones.
func settingsTree(zones fleet.ZoneSet) *settings.Tree {
	team := settings.Team{Name: testTeam, PermittedZones: zones.Zones()}
	return &settings.Tree{Teams: map[fleet.Team]settings.Team{testTeam: team}}
}

// testFleet simulates the control group and the network in memory.
type testFleet struct {
	mu     sync.Mutex
	state  *membership.State
	groups map[fleet.LedgerShard]*fleet.LedgerGroup
	nodes  map[fleet.InstanceID]*testNode
	net    *testkit.Network
}

// testNode is one process: its source of the shared state and its service.
type testNode struct {
	membership.Static
	service *Service
	stop    context.CancelFunc

	mu      sync.Mutex // guards Fixed and the fields below
	changed chan struct{}
	stale   bool // receives no further changes
}

func (n *testNode) State() *membership.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.FixedState
}

func (n *testNode) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *testNode) setStale() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stale = true
}

func (n *testNode) publish(s *membership.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stale {
		return
	}
	n.FixedState = s
	close(n.changed)
	n.changed = make(chan struct{})
}

// newTestFleet starts processes, of which a, b and c are the replicas.
func newTestFleet(t *testing.T, options Options, names ...fleet.InstanceID) *testFleet {
	f := &testFleet{
		state:  &membership.State{View: fleet.View{Instances: map[fleet.InstanceID]fleet.Instance{}}, Tree: settingsTree(testZones)},
		groups: make(map[fleet.LedgerShard]*fleet.LedgerGroup),
		nodes:  make(map[fleet.InstanceID]*testNode),
		net:    &testkit.Network{},
	}
	for n, name := range names {
		f.start(t, name, fleet.Incarnation(n+1), options)
	}
	f.setGroups(testZones, "a", "b", "c")
	f.awaitReady(t, 3)
	return f
}

// start starts a process and adds it to the view.
func (f *testFleet) start(t *testing.T, name fleet.InstanceID, incarnation fleet.Incarnation, o Options) {
	zones := testZones.Zones()
	self := fleet.Instance{
		ID:          name,
		Incarnation: incarnation,
		Zone:        zones[int(incarnation)%len(zones)],
		RPCAddress:  string(name),
		Entry:       true,
	}
	n := &testNode{Static: membership.Static{FixedState: f.state, Instance: self}, changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	o.Source, o.Dialer, o.ReportReady = n, f.net.Dialer(self.RPCAddress), f.ready
	n.service = NewService(o)
	f.net.Serve(self.RPCAddress, n.service.Server(), pb.DRPCLedgerDescription{})
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.change(func(s *membership.State) { s.View.Instances[name] = self })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.service.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// change edits a copy of the state and publishes it to all nodes.
func (f *testFleet) change(edit func(*membership.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &membership.State{
		Index: f.state.Index + 1,
		View: fleet.View{
			Number:    f.state.View.Number + 1,
			Instances: make(map[fleet.InstanceID]fleet.Instance),
		},
		LedgerGroups:      make(map[fleet.LedgerShard]fleet.LedgerGroup),
		Tree:              f.state.Tree,
		FormerZoneClasses: f.state.FormerZoneClasses,
	}
	maps.Copy(next.View.Instances, f.state.View.Instances)
	edit(next)
	for name, g := range f.groups {
		next.LedgerGroups[name] = *g
	}
	f.state = next
	for _, n := range f.nodes {
		n.publish(next)
	}
}

// nextGroup follows the control group's rule for the next epoch of a shard: replicas
// that stay keep their ready mark, those that were ready are the sources, and if no
// majority of these is live, the history is lost.
func nextGroup(old fleet.LedgerGroup, view fleet.View, owners []fleet.Owner, now time.Time) (next fleet.LedgerGroup, lost bool) {
	next = fleet.LedgerGroup{Shard: old.Shard, Epoch: old.Epoch + 1, HistoryLostUnixMs: old.HistoryLostUnixMs}
	ready := make(map[fleet.Owner]bool)
	live := 0
	for _, r := range old.Replicas {
		if !r.Ready {
			continue
		}
		ready[r.Owner] = true
		next.Sources = append(next.Sources, r)
		if view.Contains(r.Owner) {
			live++
		}
	}
	fresh := len(old.Replicas) == 0
	lost = !fresh && live <= len(next.Sources)/2
	if lost {
		next.HistoryLostUnixMs = now.UnixMilli()
	}
	if lost || fresh {
		next.Sources = nil
	}
	for _, o := range owners {
		next.Replicas = append(next.Replicas, fleet.LedgerReplica{Owner: o, Ready: lost || fresh || ready[o]})
	}
	return next, lost
}

// setGroup assigns new replicas to a shard at the next epoch.
func (f *testFleet) setGroup(shard fleet.LedgerShard, names ...fleet.InstanceID) {
	f.change(func(s *membership.State) {
		if f.groups[shard] == nil {
			f.groups[shard] = &fleet.LedgerGroup{Shard: shard}
		}
		var owners []fleet.Owner
		for _, name := range names {
			owners = append(owners, s.View.Instances[name].Owner())
		}
		*f.groups[shard], _ = nextGroup(*f.groups[shard], s.View, owners, time.Now())
	})
}

func (f *testFleet) setGroups(zones fleet.ZoneSet, names ...fleet.InstanceID) {
	for n := range uint32(fleet.LedgerShards) {
		f.setGroup(fleet.LedgerShard{ZoneClass: zones.Class(), Shard: n}, names...)
	}
}

// setZones changes the team's permitted zones, as the control group does, and creates
// the groups of the new class.
func (f *testFleet) setZones(zones fleet.ZoneSet, names ...fleet.InstanceID) {
	f.setGroups(zones, names...)
	f.change(func(s *membership.State) {
		old := s.Tree.Teams[testTeam].Permitted().Class()
		left := slices.DeleteFunc(slices.Clone(s.FormerZoneClasses[testTeam]), func(c string) bool { return c == old })
		s.FormerZoneClasses = map[fleet.Team][]string{testTeam: append(left, old)}
		s.Tree = settingsTree(zones)
	})
}

// kill stops a process and removes it from the view.
func (f *testFleet) kill(name fleet.InstanceID) {
	f.mu.Lock()
	f.nodes[name].stop()
	delete(f.nodes, name)
	f.mu.Unlock()
	f.net.Remove(string(name))
	f.removeFromView(name)
}

// removeFromView removes a process from the view. The process receives no further
// changes but may keep running.
func (f *testFleet) removeFromView(name fleet.InstanceID) {
	f.mu.Lock()
	if n := f.nodes[name]; n != nil {
		n.setStale()
	}
	f.mu.Unlock()
	f.change(func(s *membership.State) { delete(s.View.Instances, name) })
}

func (f *testFleet) ready(_ context.Context, ready *pb.LedgerReady) error {
	who := fleet.Owner{Instance: fleet.InstanceID(ready.GetInstanceId()), Incarnation: fleet.Incarnation(ready.GetIncarnation())}
	f.change(func(*membership.State) {
		for _, e := range ready.GetShards() {
			shard := fleet.LedgerShard{ZoneClass: e.GetZoneClass(), Shard: e.GetShard()}
			if g := f.groups[shard]; g != nil && g.Epoch == e.GetEpoch() {
				g.Replicas = markedReady(g.Replicas, who)
			}
		}
	})
	return nil
}

func markedReady(replicas []fleet.LedgerReplica, who fleet.Owner) []fleet.LedgerReplica {
	marked := slices.Clone(replicas)
	for n := range marked {
		marked[n].Ready = marked[n].Ready || marked[n].Owner == who
	}
	return marked
}

// awaitReady waits until all groups have the given number of ready replicas.
func (f *testFleet) awaitReady(t *testing.T, want int) {
	t.Helper()
	f.await(t, fmt.Sprintf("%d ready replicas", want), func() bool {
		for _, g := range f.groups {
			waiting := func(r fleet.LedgerReplica) bool { return !r.Ready }
			if len(slices.DeleteFunc(slices.Clone(g.Replicas), waiting)) < want {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) await(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		f.mu.Lock()
		ok := done()
		f.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func dispatch(ctx context.Context, server pb.DRPCLedgerServer, name string, in drpc.Message) (drpc.Message, error) {
	description := pb.DRPCLedgerDescription{}
	for n := range description.NumMethods() {
		rpc, _, receiver, _, _ := description.Method(n)
		if rpc == name {
			return receiver(server, ctx, in, nil)
		}
	}
	return nil, errors.New("no such method")
}
