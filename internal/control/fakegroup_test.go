package control

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// cluster is a control group in memory: one shared log, and members that apply it
// unless they are partitioned. Only a test changes the leader.
type cluster struct {
	mu       sync.Mutex
	members  []*fakeMember
	leader   int // -1: none
	term     uint64
	commands [][]byte
	// failNextReply makes the next proposal commit and the leader change before it
	// answers.
	failNextReply bool
	net           *testkit.Network
}

type fakeMember struct {
	cluster     *cluster
	number      int
	partitioned bool // from the other members
	applied     int
	machine     *Machine
	server      *Server
}

var _ replica.Group = (*fakeMember)(nil)

func newCluster(t testing.TB, members int) *cluster {
	c := &cluster{net: &testkit.Network{}, term: 1}
	for n := range members {
		m := &fakeMember{cluster: c, number: n, machine: NewMachine(testOptions())}
		m.server = NewServer(ServerOptions{Group: m, Machine: m.machine, Self: m.instance(), Dialer: c.net.Dialer(m.address())})
		c.members = append(c.members, m)
		serveControl(c.net, m.address(), m.server)
	}
	return c
}

func (m *fakeMember) address() string { return fmt.Sprint("control", m.number) }

func (m *fakeMember) instance() fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(m.address()), RPCAddress: m.address()}
}

func (m *fakeMember) member() *pb.Member {
	return &pb.Member{InstanceId: m.address(), DiskId: "disk-" + m.address(), RpcAddress: m.address()}
}

// run runs each member's server until ctx ends.
func (c *cluster) run(ctx context.Context) {
	for _, m := range c.members {
		go func() { _ = m.server.Run(ctx) }()
	}
}

func (c *cluster) elect(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = number
	c.term++
	c.applyCommitted()
}

func (c *cluster) setPartitioned(number int, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[number].partitioned = partitioned
	c.applyCommitted()
}

// applyCommitted applies the log at all members that are not partitioned. It
// returns the leader's last result.
func (c *cluster) applyCommitted() []byte {
	var last []byte
	for _, m := range c.members {
		for !m.partitioned && m.applied < len(c.commands) {
			result := m.machine.Apply(uint64(m.applied+1), c.commands[m.applied])
			m.applied++
			if m.number == c.leader {
				last = result
			}
		}
	}
	return last
}

func (c *cluster) addresses() []string {
	var all []string
	for _, m := range c.members {
		all = append(all, m.address())
	}
	return all
}

// Propose implements replica.Group.
func (m *fakeMember) Propose(ctx context.Context, command []byte) (replica.Applied, error) {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != m.number {
		return replica.Applied{}, replica.ErrNotLeader
	}
	if m.partitioned {
		return replica.Applied{}, replica.ErrUncertain
	}
	c.commands = append(c.commands, command)
	result := c.applyCommitted()
	if c.failNextReply {
		c.failNextReply = false
		c.leader = (c.leader + 1) % len(c.members)
		c.term++
		return replica.Applied{}, replica.ErrUncertain
	}
	return replica.Applied{Index: uint64(len(c.commands)), Result: result}, nil
}

// ReadBarrier implements replica.Group.
func (m *fakeMember) ReadBarrier(context.Context) error {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != m.number || m.partitioned {
		return replica.ErrNotLeader
	}
	return nil
}

// ProposeMember implements replica.Group.
func (m *fakeMember) ProposeMember(_ context.Context, _ bool, member *pb.Member) (*pb.Membership, error) {
	return &pb.Membership{Members: []*pb.Member{member}}, nil
}

// Status implements replica.Group. A partitioned member still reports its former
// role.
func (m *fakeMember) Status() replica.Status {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	s := replica.Status{FleetID: "trust", DiskID: m.DiskID(), Term: c.term, IsLeader: c.leader == m.number, Initialised: true}
	if c.leader >= 0 {
		s.Leader = c.members[c.leader].member()
	}
	for _, other := range c.members {
		s.Members = append(s.Members, replica.MemberProgress{Member: other.member()})
	}
	return s
}

// Step implements replica.Group.
func (m *fakeMember) Step(context.Context, *pb.ConsensusMessage) error { return nil }

// Init implements replica.Group.
func (m *fakeMember) Init(string, []*pb.Member) error { return nil }

// DiskID implements replica.Group.
func (m *fakeMember) DiskID() string { return m.member().DiskId }
