package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// The bounds of a DRPCTransport.
const (
	peerQueue   = 512              // messages that wait for one peer
	peerLimit   = 64               // peers; a group has a handful
	sendSilence = time.Second      // after which a message is given up
	peerIdle    = 30 * time.Second // after which a peer's worker ends
)

// DRPCTransport sends messages over drpc, with one worker and one bounded
// queue for each peer, so that a peer that doesn't answer holds up no other.
// A full queue drops what comes.
type DRPCTransport struct {
	dialer rpc.Dialer
	part   logging.Part

	mu    sync.Mutex // guards the fields below; nothing else is locked inside
	ctx   context.Context
	peers map[string]chan *pb.ConsensusMessage
	wait  sync.WaitGroup
}

// NewTransport makes a transport that sends once Run works.
func NewTransport(dialer rpc.Dialer, part logging.Part) *DRPCTransport {
	return &DRPCTransport{dialer: dialer, part: part, peers: map[string]chan *pb.ConsensusMessage{}}
}

// Run lets messages flow until ctx ends.
func (t *DRPCTransport) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	// A Send that saw ctx alive may be about to start a worker; after this
	// none does, so that Wait misses nobody.
	t.mu.Lock()
	t.ctx = nil
	t.mu.Unlock()
	t.wait.Wait()
	return nil
}

// Send implements Transport.
func (t *DRPCTransport) Send(address string, m *pb.ConsensusMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.ctx.Err() != nil {
		return
	}
	queue := t.peers[address]
	if queue == nil {
		if len(t.peers) >= peerLimit {
			return
		}
		queue = make(chan *pb.ConsensusMessage, peerQueue)
		t.peers[address] = queue
		t.wait.Add(1)
		go t.work(t.ctx, address, queue)
	}
	select {
	case queue <- m:
	default:
	}
}

func (t *DRPCTransport) work(ctx context.Context, address string, queue chan *pb.ConsensusMessage) {
	defer t.wait.Done()
	idle := time.NewTimer(peerIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			idle.Reset(peerIdle)
			if err := t.step(ctx, address, m); err != nil && ctx.Err() == nil {
				t.part.Debug("Message was not delivered.", "address", address, "kind", m.Kind, "err", err)
			}
		case <-idle.C:
			if t.retire(address, queue) {
				return
			}
			idle.Reset(peerIdle)
		}
	}
}

// retire forgets a peer whose queue is empty.
func (t *DRPCTransport) retire(address string, queue chan *pb.ConsensusMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.peers, address)
	return true
}

func (t *DRPCTransport) step(ctx context.Context, address string, m *pb.ConsensusMessage) error {
	ctx, transfer := rpc.WithTransfer(ctx, sendSilence)
	conn, err := t.dialer.Conn(ctx, address)
	if err == nil {
		_, err = pb.NewDRPCConsensusClient(conn).Step(ctx, m)
	}
	return transfer.End(ctx, err)
}
