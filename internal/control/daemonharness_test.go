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

// daemonHarness is a control group with daemons in a synctest bubble.
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
		h := &daemonHarness{t: t, ctx: ctx, cluster: c}
		h.admin = NewClient(c.net.Dialer("admin"), c.addresses, logging.Part{})
		h.apply("fleet", 0, []byte(fleetYAML))
		h.apply("teams/sorters", 0, teamYAML("sorters", allZones...))
		f(h)
		cancel()
		synctest.Wait()
	})
}

// withEntry starts entry e0 and runs f five seconds later.
func withEntry(t *testing.T, f func(*daemonHarness, *daemon)) {
	withHarness(t, func(h *daemonHarness) {
		d := h.start("e0", 1)
		time.Sleep(5 * time.Second)
		f(h, d)
	})
}

func (h *daemonHarness) apply(name string, version uint64, yaml []byte) *pb.ChangeReply {
	h.t.Helper()
	return h.change(name, version, yaml, 0)
}

func (h *daemonHarness) change(name string, version uint64, yaml []byte, wait time.Duration) *pb.ChangeReply {
	h.t.Helper()
	return changeWith(h.t, h.admin, subtree(name, version, fmt.Sprint(name, version), yaml), wait)
}

// changeWith sends a change that must be accepted and waits, up to wait, until it
// is in force everywhere.
func changeWith(t testing.TB, admin *Client, c *pb.ChangeSubtree, wait time.Duration) *pb.ChangeReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	reply, err := admin.Change(ctx, &pb.ChangeRequest{Change: c, WaitInForceMs: uint64(wait.Milliseconds())})
	assert.NilError(t, err)
	assert.Equal(t, reply.Result.Status, accepted, reply.Result.Detail)
	return reply
}

func (h *daemonHarness) start(id string, incarnation fleet.Incarnation) *daemon {
	ctx, stop := context.WithCancel(h.ctx)
	d := &daemon{ended: make(chan error, 1), stop: stop}
	// As in a daemon, the client's addresses come from the agent's state too.
	d.client = NewClient(h.cluster.net.Dialer(id), func() []string {
		d.agent.State()
		return h.cluster.addresses()
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

func (h *daemonHarness) view() map[string]uint64 {
	h.cluster.mu.Lock()
	leader := h.cluster.members[max(h.cluster.leader, 0)]
	h.cluster.mu.Unlock()
	_, instances := leader.machine.Instances()
	view := map[string]uint64{}
	for _, i := range instances {
		view[i.Id] = i.Incarnation
	}
	return view
}

func (h *daemonHarness) setPartitioned(id string, partitioned bool) {
	h.cluster.net.SetCut(partitioned, id, h.cluster.addresses()...)
	for _, a := range h.cluster.addresses() {
		h.cluster.net.SetCut(partitioned, a, id)
	}
}

func (h *daemonHarness) groups() []*pb.LedgerGroup {
	return h.cluster.members[0].machine.machineState().State.LedgerGroups
}

// completeCopies reports all pending copies as done until none is pending.
func completeCopies(h *daemonHarness) {
	for range 4 {
		for _, g := range h.groups() {
			for _, r := range g.Replicas {
				if r.Ready {
					continue
				}
				_, err := h.admin.Ready(h.ctx, readyReport(r, g))
				assert.NilError(h.t, err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
}
