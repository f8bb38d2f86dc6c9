package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/storage"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// realGroup is a control group of three members with logs on disk, in real time,
// over an in-memory network.
type realGroup struct {
	t         testing.TB
	ctx       context.Context
	net       *testkit.Network
	addresses []string
	nodes     map[string]*replica.Node
	stops     map[string]context.CancelFunc
	admin     *Client
}

func newRealGroup(t testing.TB) *realGroup {
	g := &realGroup{
		t: t, ctx: t.Context(), net: &testkit.Network{},
		nodes: map[string]*replica.Node{}, stops: map[string]context.CancelFunc{},
	}
	for n := range 3 {
		g.startMember(fmt.Sprint("control", n), uint64(n))
	}
	g.admin = NewClient(g.net.Dialer("admin"), func() []string { return g.addresses }, logging.Part{})
	var members []*pb.Member
	for _, a := range g.addresses {
		members = append(members, &pb.Member{InstanceId: a, RpcAddress: a})
	}
	_, err := g.admin.Init(g.ctx, g.addresses[0], &pb.InitRequest{FleetId: "trust", Members: members})
	assert.NilError(t, err)
	g.change("fleet", 0, []byte(fleetYAML))
	return g
}

func (g *realGroup) startMember(address string, seed uint64) {
	ctx, stop := context.WithCancel(g.ctx)
	machine := NewMachine(testOptions())
	transport := replica.NewTransport(g.net.Dialer(address), logging.Part{})
	node, err := replica.New(replica.Options{
		InstanceID: address, RPCAddress: address, Dir: g.t.TempDir(), FS: storage.OSFS{},
		Machine: machine, Transport: transport, Seed: seed,
	})
	assert.NilError(g.t, err)
	self := fleet.Instance{ID: fleet.InstanceID(address), RPCAddress: address}
	server := NewServer(ServerOptions{Group: node, Machine: machine, Self: self, Dialer: g.net.Dialer(address)})
	serveControl(g.net, address, server)
	g.addresses = append(g.addresses, address)
	g.nodes[address], g.stops[address] = node, stop
	ended := make(chan struct{}, 3)
	for _, run := range []func(context.Context) error{transport.Run, node.Run, server.Run} {
		go func() { _ = run(ctx); ended <- struct{}{} }()
	}
	g.t.Cleanup(func() {
		stop()
		for range cap(ended) {
			<-ended
		}
	})
}

func (g *realGroup) change(name string, version uint64, yaml []byte) *pb.ChangeReply {
	reply := changeWith(g.t, g.admin, subtree(name, version, fmt.Sprint(name, version), yaml), 10*time.Second)
	assert.Assert(g.t, reply.InForce, "pending: %v", reply.PendingInstances)
	return reply
}

func (g *realGroup) startDaemons(count int) []*membership.Agent {
	var agents []*membership.Agent
	for n := range count {
		id := fmt.Sprint("e", n)
		client := NewClient(g.net.Dialer(id), func() []string { return g.addresses }, logging.Part{})
		agent := newAgent(client, fleet.Instance{ID: fleet.InstanceID(id), Incarnation: 1, Zone: "howrah", Entry: true})
		ended := make(chan struct{})
		ctx, stop := context.WithCancel(g.ctx)
		go func() { _ = agent.Run(ctx); close(ended) }()
		g.t.Cleanup(func() { stop(); <-ended })
		agents = append(agents, agent)
	}
	g.eventually(func() bool {
		return !slices.ContainsFunc(agents, func(a *membership.Agent) bool { return !a.Current(time.Now()) })
	})
	return agents
}

func (g *realGroup) eventually(done func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			g.t.Fatal("condition not met within 30 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (g *realGroup) leader() string {
	for address, node := range g.nodes {
		if node.Status().IsLeader {
			return address
		}
	}
	return ""
}

// The leader of a group with logs on disk is removed while nine entries follow.
// The next change must be accepted by another member and come into force at all
// nine entries, and all nine must stay in the view.
func TestDaemonsFollowARealGroupThroughALeaderLoss(t *testing.T) {
	g := newRealGroup(t)
	agents := g.startDaemons(9)
	g.change("teams/sorters", 0, teamYAML("sorters", "howrah"))
	old := g.leader()
	g.net.Remove(old)
	g.stops[old]()
	reply := g.change("teams/sorters", 1, teamYAML("sorters", "barasat"))
	assert.Equal(t, reply.Result.Version, uint64(2))
	for _, a := range agents {
		assert.Equal(t, a.State().Tree.Versions["teams/sorters"], uint64(2))
		assert.Equal(t, len(a.State().View.Instances), 9)
	}
}

// BenchmarkInForce measures the time from sending a change until nine entries
// have applied it and until the answer, with logs synced to disk, in one process.
func BenchmarkInForce(b *testing.B) {
	g := newRealGroup(b)
	agents := g.startDaemons(9)
	var applied, answered []time.Duration
	b.ResetTimer()
	for n := range uint64(b.N) {
		start := time.Now()
		ended := make(chan struct{})
		go func() {
			g.change("teams/sorters", n, teamYAML("sorters", "howrah"))
			answered = append(answered, time.Since(start))
			close(ended)
		}()
		for _, a := range agents {
			for changed := a.Changed(); a.State().Tree.Versions["teams/sorters"] != n+1; changed = a.Changed() {
				<-changed
			}
		}
		applied = append(applied, time.Since(start))
		<-ended
	}
	b.ReportMetric(percentile(applied, 50), "applied-p50-ms")
	b.ReportMetric(percentile(applied, 99), "applied-p99-ms")
	b.ReportMetric(percentile(answered, 50), "answered-p50-ms")
	b.ReportMetric(percentile(answered, 99), "answered-p99-ms")
}

func percentile(times []time.Duration, p int) float64 {
	slices.Sort(times)
	return float64(times[(len(times)-1)*p/100].Microseconds()) / 1000
}
