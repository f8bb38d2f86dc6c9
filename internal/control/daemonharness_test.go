package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// daemonHarness is a control group with daemons, inside a synctest bubble.
type daemonHarness struct {
	t       testing.TB
	ctx     context.Context
	cluster *cluster
	admin   *Client
}

// daemon is one agent with its own client.
type daemon struct {
	agent  *membership.Agent
	ended  chan error
	stop   context.CancelFunc
	client *Client
}

func withHarness(t *testing.T, f func(*daemonHarness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(t, 3)
		c.run(ctx)
		b := &daemonHarness{t: t, ctx: ctx, cluster: c}
		b.admin = NewClient(c.net.Dialer("admin"), c.addresses, logging.Part{})
		b.apply("fleet", 0, []byte(fleetYAML))
		b.apply("teams/sorters", 0, teamYAML("sorters", allZones...))
		f(b)
		cancel()
		synctest.Wait()
	})
}

// withEntry runs f five seconds after entry e0 has been started.
func withEntry(t *testing.T, f func(*daemonHarness, *daemon)) {
	withHarness(t, func(b *daemonHarness) {
		d := b.start("e0", 1)
		time.Sleep(5 * time.Second)
		f(b, d)
	})
}

func (b *daemonHarness) apply(name string, version uint64, yaml []byte) *pb.ChangeReply {
	b.t.Helper()
	return b.change(name, version, yaml, 0)
}

func (b *daemonHarness) change(name string, version uint64, yaml []byte, wait time.Duration) *pb.ChangeReply {
	b.t.Helper()
	return changeWith(b.t, b.admin, subtree(name, version, fmt.Sprint(name, version), yaml), wait)
}

// changeWith makes a change that must be accepted and waits until it is in
// force everywhere.
func changeWith(t testing.TB, admin *Client, c *pb.ChangeSubtree, wait time.Duration) *pb.ChangeReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	reply, err := admin.Change(ctx, &pb.ChangeRequest{Change: c, WaitInForceMs: uint64(wait.Milliseconds())})
	assert.NilError(t, err)
	assert.Equal(t, reply.Result.Status, accepted, reply.Result.Detail)
	return reply
}

func (b *daemonHarness) start(id string, incarnation fleet.Incarnation) *daemon {
	ctx, stop := context.WithCancel(b.ctx)
	d := &daemon{ended: make(chan error, 1), stop: stop}
	// As in a daemon, the client's addresses come from the agent's state too.
	d.client = NewClient(b.cluster.net.Dialer(id), func() []string {
		d.agent.State()
		return b.cluster.addresses()
	}, logging.Part{})
	d.agent = newAgent(d.client, fleet.Instance{
		ID: fleet.InstanceID(id), Incarnation: incarnation, Zone: "howrah", Entry: true,
		RPCAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:7001", EndpointAddress: "10.0.0.1:7002", OperatorAddress: "10.0.0.1:7003",
	})
	go func() { d.ended <- d.agent.Run(ctx) }()
	return d
}

func newAgent(c *Client, self fleet.Instance) *membership.Agent {
	return membership.NewAgent(membership.Options{Client: c, Self: self, Build: settings.Build, Change: settings.CheckChange})
}

func (d *daemon) current() bool { return d.agent.Current(time.Now()) }

func (b *daemonHarness) view() map[string]uint64 {
	b.cluster.mu.Lock()
	leader := b.cluster.members[max(b.cluster.leader, 0)]
	b.cluster.mu.Unlock()
	_, instances := leader.machine.Instances()
	view := map[string]uint64{}
	for _, i := range instances {
		view[i.Id] = i.Incarnation
	}
	return view
}

func (b *daemonHarness) setPartitioned(id string, cut bool) {
	b.cluster.net.SetCut(cut, id, b.cluster.addresses()...)
	for _, a := range b.cluster.addresses() {
		b.cluster.net.SetCut(cut, a, id)
	}
}

func (b *daemonHarness) groups() []*pb.LedgerGroup {
	return b.cluster.members[0].machine.machineState().State.LedgerGroups
}

// completeCopies reports all pending copies as done until there are none.
func completeCopies(b *daemonHarness) {
	for range 4 {
		for _, g := range b.groups() {
			for _, r := range g.Replicas {
				if r.Ready {
					continue
				}
				_, err := b.admin.Ready(b.ctx, readyReport(r, g))
				assert.NilError(b.t, err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
}
