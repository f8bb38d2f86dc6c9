package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// Limits of a DRPCTransport.
const (
	maxQueuedMessages = 512              // queue length per peer
	maxPeers          = 64               // a group has only a few members
	sendIdleTimeout   = time.Second      // a send without progress for this long is abandoned
	peerIdleTimeout   = 30 * time.Second // the worker of an idle peer ends after this time
)

// DRPCTransport sends messages over drpc. Each peer has its own worker and
// bounded queue, so that an unresponsive peer doesn't delay the others. Messages
// to a full queue are dropped.
type DRPCTransport struct {
	dialer rpc.Dialer
	part   logging.Part

	mu      sync.Mutex // guards the fields below; no other lock is taken while it is held
	ctx     context.Context
	peers   map[string]chan *pb.ConsensusMessage
	workers sync.WaitGroup
}

// NewTransport returns a transport, which sends messages only while Run is
// running.
func NewTransport(dialer rpc.Dialer, part logging.Part) *DRPCTransport {
	return &DRPCTransport{dialer: dialer, part: part, peers: map[string]chan *pb.ConsensusMessage{}}
}

// Run enables sending until ctx ends, and then waits for the workers.
func (t *DRPCTransport) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	// A concurrent Send may still start a worker. Clearing ctx under the lock
	// prevents this, so that Wait covers all workers.
	t.mu.Lock()
	t.ctx = nil
	t.mu.Unlock()
	t.workers.Wait()
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
		if len(t.peers) >= maxPeers {
			return
		}
		queue = make(chan *pb.ConsensusMessage, maxQueuedMessages)
		t.peers[address] = queue
		t.workers.Add(1)
		go t.sendLoop(t.ctx, address, queue)
	}
	select {
	case queue <- m:
	default:
	}
}

func (t *DRPCTransport) sendLoop(ctx context.Context, address string, queue chan *pb.ConsensusMessage) {
	defer t.workers.Done()
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			idle.Reset(peerIdleTimeout)
			if err := t.step(ctx, address, m); err != nil && ctx.Err() == nil {
				t.part.Debug("Message was not delivered.", "address", address, "kind", m.Kind, "err", err)
			}
		case <-idle.C:
			if t.removeIfIdle(address, queue) {
				return
			}
			idle.Reset(peerIdleTimeout)
		}
	}
}

// removeIfIdle removes a peer if its queue is empty, and reports whether it did.
func (t *DRPCTransport) removeIfIdle(address string, queue chan *pb.ConsensusMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.peers, address)
	return true
}

func (t *DRPCTransport) step(ctx context.Context, address string, m *pb.ConsensusMessage) error {
	ctx, transfer := rpc.WithTransfer(ctx, sendIdleTimeout)
	conn, err := t.dialer.Conn(ctx, address)
	if err == nil {
		_, err = pb.NewDRPCConsensusClient(conn).Step(ctx, m)
	}
	return transfer.End(ctx, err)
}
