package outcome

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

var testZones = fleet.NewZoneSet("howrah", "barasat", "durgapur")

const testTeam fleet.Team = "sutokatha"

// treeOf gives settings that permit the test's team these zones.
func treeOf(zones fleet.ZoneSet) *settings.Tree {
	team := settings.Team{Name: testTeam, PermittedZones: zones.Zones()}
	return &settings.Tree{Teams: map[fleet.Team]settings.Team{testTeam: team}}
}

// testFleet is a control group and a network in memory.
type testFleet struct {
	mu     sync.Mutex
	state  *membership.State
	groups map[fleet.LedgerShard]*testGroup
	nodes  map[fleet.InstanceID]*testNode
	cut    map[[2]fleet.InstanceID]bool // requests or replies from one to the other are lost
	calls  map[fleet.InstanceID]int     // over the network, by receiver
	// hold, if set, may stop a call on its way in or its reply on its way out.
	hold func(from, to fleet.InstanceID, rpc string, reply bool)
}

type testGroup struct {
	current fleet.LedgerGroup
}

// testNode is one process: its source of state and its service.
type testNode struct {
	fleet   *testFleet
	self    fleet.Instance
	service *Service
	stop    context.CancelFunc

	mu      sync.Mutex
	state   *membership.State
	changed chan struct{}
	stale   bool // no longer told of changes
}

func (n *testNode) State() *membership.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}
func (n *testNode) Current(time.Time) bool { return true }
func (n *testNode) Self() fleet.Instance   { return n.self }
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
	n.state = s
	close(n.changed)
	n.changed = make(chan struct{})
}

func newTestFleet(t *testing.T, options Options, names ...fleet.InstanceID) *testFleet {
	f := &testFleet{
		state:  &membership.State{View: fleet.View{Instances: map[fleet.InstanceID]fleet.Instance{}}, Tree: treeOf(testZones)},
		groups: make(map[fleet.LedgerShard]*testGroup),
		nodes:  make(map[fleet.InstanceID]*testNode),
		cut:    make(map[[2]fleet.InstanceID]bool),
		calls:  make(map[fleet.InstanceID]int),
	}
	for n, name := range names {
		f.start(t, name, fleet.Incarnation(n+1), options)
	}
	return f
}

// start starts a process, which joins the view.
func (f *testFleet) start(t *testing.T, name fleet.InstanceID, incarnation fleet.Incarnation, o Options) *testNode {
	zones := testZones.Zones()
	self := fleet.Instance{
		ID:          name,
		Incarnation: incarnation,
		Zone:        zones[int(incarnation)%len(zones)],
		RPCAddress:  string(name),
		Entry:       true,
	}
	n := &testNode{fleet: f, self: self, state: f.state, changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	o.Source = n
	o.Dialer = n
	o.Ready = f.ready
	n.service = NewService(o)
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
	return n
}

// change makes a new state and tells all nodes.
func (f *testFleet) change(edit func(*membership.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &membership.State{
		Index: f.state.Index + 1,
		View: fleet.View{
			Number:    f.state.View.Number + 1,
			Instances: make(map[fleet.InstanceID]fleet.Instance),
		},
		Groups: make(map[fleet.LedgerShard]fleet.LedgerGroup),
		Tree:   f.state.Tree,
		Former: f.state.Former,
	}
	for id, i := range f.state.View.Instances {
		next.View.Instances[id] = i
	}
	edit(next)
	for name, g := range f.groups {
		next.Groups[name] = g.current
	}
	f.state = next
	for _, n := range f.nodes {
		n.publish(next)
	}
}

// setGroup gives a shard new replicas at the next epoch, by the control group's
// rule: those that stay keep their ready mark, those that were ready are the
// sources, and without a majority of these the history is lost.
func (f *testFleet) setGroup(shard fleet.LedgerShard, names ...fleet.InstanceID) {
	f.change(func(s *membership.State) {
		g := f.groups[shard]
		if g == nil {
			g = &testGroup{}
			f.groups[shard] = g
		}
		next := fleet.LedgerGroup{Shard: shard, Epoch: g.current.Epoch + 1, HistoryLostMs: g.current.HistoryLostMs}
		ready := make(map[fleet.Owner]bool)
		left := 0
		for _, r := range g.current.Replicas {
			if r.Ready {
				ready[r.Owner] = true
				next.Sources = append(next.Sources, r)
			}
			if r.Ready && s.View.Holds(r.Owner) {
				left++
			}
		}
		for _, name := range names {
			o := s.View.Instances[name].Owner()
			next.Replicas = append(next.Replicas, fleet.LedgerReplica{Owner: o, Ready: ready[o]})
		}
		fresh := len(g.current.Replicas) == 0
		if !fresh && left <= len(next.Sources)/2 {
			next.HistoryLostMs = time.Now().UnixMilli()
			fresh = true
		}
		if fresh {
			next.Sources = nil
			for n := range next.Replicas {
				next.Replicas[n].Ready = true
			}
		}
		g.current = next
	})
}

func (f *testFleet) setGroups(names ...fleet.InstanceID) {
	for n := range uint32(fleet.LedgerShards) {
		f.setGroup(fleet.LedgerShard{ZoneClass: testZones.Class(), Shard: n}, names...)
	}
}

// setZones changes the team's permitted zones, as the control group does, and
// gives the new class its groups.
func (f *testFleet) setZones(zones fleet.ZoneSet, names ...fleet.InstanceID) {
	for n := range uint32(fleet.LedgerShards) {
		f.setGroup(fleet.LedgerShard{ZoneClass: zones.Class(), Shard: n}, names...)
	}
	f.change(func(s *membership.State) {
		old := s.Tree.Teams[testTeam].Permitted().Class()
		left := slices.DeleteFunc(slices.Clone(s.Former[testTeam]), func(c string) bool { return c == old })
		s.Former = map[fleet.Team][]string{testTeam: append(left, old)}
		s.Tree = treeOf(zones)
	})
}

// kill stops a process and takes it out of the view.
func (f *testFleet) kill(name fleet.InstanceID) {
	f.mu.Lock()
	f.nodes[name].stop()
	delete(f.nodes, name)
	f.mu.Unlock()
	f.lose(name)
}

// lose takes a process out of the view. It hears of no change any more, and
// may go on.
func (f *testFleet) lose(name fleet.InstanceID) {
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
			if g := f.groups[shard]; g != nil && g.current.Epoch == e.GetEpoch() {
				g.markReady(who)
			}
		}
	})
	return nil
}

func (g *testGroup) markReady(who fleet.Owner) {
	replicas := make([]fleet.LedgerReplica, len(g.current.Replicas))
	for n, m := range g.current.Replicas {
		m.Ready = m.Ready || m.Owner == who
		replicas[n] = m
	}
	g.current.Replicas = replicas
}

// awaitReady waits until all groups have the given number of ready replicas.
func (f *testFleet) awaitReady(t *testing.T, want int) {
	t.Helper()
	f.await(t, fmt.Sprintf("%d ready replicas", want), func() bool {
		for _, g := range f.groups {
			ready := 0
			for _, m := range g.current.Replicas {
				if m.Ready {
					ready++
				}
			}
			if ready < want {
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
	t.Fatalf("not in time: %s", what)
}

// setCut loses what goes from one node to another.
func (f *testFleet) setCut(from, to fleet.InstanceID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]fleet.InstanceID{from, to}] = cut
}

func (f *testFleet) setHold(hold func(from, to fleet.InstanceID, rpc string, reply bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hold = hold
}

func (f *testFleet) isCut(from, to fleet.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]fleet.InstanceID{from, to}]
}

// Conn implements rpc.Dialer; addresses are instance IDs.
func (n *testNode) Conn(_ context.Context, address string) (drpc.Conn, error) {
	return &testConn{from: n, to: fleet.InstanceID(address)}, nil
}

// testConn calls the other process' server directly. What is cut off waits
// until its context ends, as on a silent network.
type testConn struct {
	drpc.Conn
	from *testNode
	to   fleet.InstanceID
}

func (c *testConn) Invoke(ctx context.Context, name string, _ drpc.Encoding, in, out drpc.Message) error {
	f := c.from.fleet
	f.mu.Lock()
	f.calls[c.to]++
	target := f.nodes[c.to]
	hold := f.hold
	f.mu.Unlock()
	if hold == nil {
		hold = func(fleet.InstanceID, fleet.InstanceID, string, bool) {}
	}
	if target == nil {
		return errors.New("no such process")
	}
	hold(c.from.self.ID, c.to, name, false)
	if f.isCut(c.from.self.ID, c.to) {
		<-ctx.Done()
		return ctx.Err()
	}
	reply, err := dispatch(ctx, target.service.Server(), name, proto.Clone(in.(proto.Message)))
	hold(c.from.self.ID, c.to, name, true)
	if f.isCut(c.to, c.from.self.ID) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	proto.Merge(out.(proto.Message), reply.(proto.Message))
	return nil
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
