package replica

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/storage"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// serve runs a node with real files and drpc on listener until ctx ends; then it
// closes ended.
func serve(ctx context.Context, config *tls.Config, listener net.Listener, dir, name string, state StateMachine) (node *Node, ended <-chan struct{}, err error) {
	pool := rpc.NewPool(config, timeline.NewClock(time.Now))
	transport := NewTransport(pool, logging.Part{})
	node, err = New(Options{
		InstanceID: name, RPCAddress: listener.Addr().String(), Dir: dir, FS: storage.OSFS{},
		Machine: state, Transport: transport, Seed: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return nil, nil, err
	}
	server := rpc.NewServer(config, timeline.NewClock(time.Now), logging.Part{})
	if err := pb.DRPCRegisterConsensus(server.Mux, stepServer{Group: node}); err != nil {
		return nil, nil, err
	}
	go transport.Run(ctx)
	go server.Serve(ctx, listener)
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.Run(ctx)
		pool.Close()
	}()
	return node, done, nil
}

// process is one node with real files and drpc over the loopback interface.
type process struct {
	name, dir, address string
	node               *Node
	stop               context.CancelFunc
	ended              <-chan struct{}
}

func startProcess(t testing.TB, config *tls.Config, p *process) {
	if p.address == "" {
		p.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", p.address)
	assert.NilError(t, err)
	p.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.node, p.ended, err = serve(ctx, config, listener, p.dir, p.name, &commandLog{})
	assert.NilError(t, err)
}

func startProcesses(t testing.TB, count int) (*tls.Config, []*process) {
	config, err := rpc.LoadTLS(testkit.WriteKeys(t, t.TempDir(), "all"))
	assert.NilError(t, err)
	var all []*process
	var members []*pb.Member
	for i := range count {
		p := &process{name: string(rune('a' + i)), dir: t.TempDir()}
		startProcess(t, config, p)
		t.Cleanup(func() { p.stop(); <-p.ended })
		all = append(all, p)
		members = append(members, &pb.Member{InstanceId: p.name, DiskId: p.node.DiskID(), RpcAddress: p.address})
	}
	assert.NilError(t, all[0].node.Init("fleet", members))
	waitForLeaderProcess(t, all)
	return config, all
}

func waitForLeaderProcess(t testing.TB, all []*process) *process {
	return waitForOne(t, 20*time.Second, all, func(p *process) bool {
		return p.node.Status().IsLeader && p.node.ReadBarrier(context.Background()) == nil
	})
}

// Three nodes with real files and sockets must elect a leader and commit, and
// continue when the leader stops and returns at another address.
func TestOverLoopback(t *testing.T) {
	config, all := startProcesses(t, 3)
	leader := waitForLeaderProcess(t, all)
	_, err := leader.node.Propose(context.Background(), []byte("x"))
	assert.NilError(t, err)
	leader.stop()
	<-leader.ended
	rest := without(all, leader)
	applied, err := waitForLeaderProcess(t, rest).node.Propose(context.Background(), []byte("y"))
	assert.NilError(t, err)
	leader.address = ""
	startProcess(t, config, leader)
	waitForOne(t, 20*time.Second, []*process{leader}, func(p *process) bool { return p.node.Status().Applied >= applied.Index })
}
