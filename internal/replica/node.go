package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

const (
	inboxCapacity     = 4096     // events that wait for the loop
	maxBatchEvents    = 512      // queued events in one iteration of the loop
	maxBatchBytes     = 16 << 20 // approximate bytes to write in one iteration
	maxKnownAddresses = 64
)

// Node is one member of the group. The goroutine of Run owns the core, the store
// and the state machine. Other goroutines send it events, so no lock order is
// needed.
type Node struct {
	options        Options
	diskID         string
	store          *storage.Store
	core           *consensus.Core
	group          string
	knownAddresses map[string]string // addresses from received messages, by disk ID

	inbox          chan event
	done           chan struct{} // closed when Run ends
	published      atomic.Pointer[publishedStatus]
	failed         atomic.Bool   // storage failed
	lastWriteEnded chan struct{} // closed when the latest write has ended
	metrics        *metrics

	applied            uint64
	bytesSinceSnapshot uint64 // size of the entries applied since the latest snapshot
	nextRead           uint64
	proposals          map[uint64]proposal // by index
	reads              map[uint64]chan error
	changes            []memberChange
	transfers          []transferEvent
}

// New opens the data folder and restores the state machine. It returns
// *storage.ErrCorrupt if the folder can no longer be trusted.
func New(options Options) (*Node, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	store, err := storage.Open(options.Dir, options.FS)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{
		options: options, diskID: store.DiskID(), store: store, group: store.Group(),
		knownAddresses: map[string]string{},
		inbox:          make(chan event, inboxCapacity), done: make(chan struct{}),
		metrics:   newMetrics(options.Registerer),
		proposals: map[uint64]proposal{}, reads: map[uint64]chan error{},
	}
	if err := n.restore(store.State()); err != nil {
		return nil, trace.NewAggregate(err, store.Close())
	}
	return n, nil
}

func (n *Node) restore(state consensus.State) error {
	if s := state.Snapshot; s != nil && s.Index > n.applied {
		if err := n.options.Machine.Restore(s.Index, s.Data); err != nil {
			return trace.Wrap(err, "snapshot %d can't be restored", s.Index)
		}
		n.applied = s.Index
	}
	core, err := consensus.New(consensus.Config{
		ID:                n.diskID,
		ElectionTimeout:   n.options.ElectionTimeout,
		HeartbeatInterval: n.options.HeartbeatInterval,
		Random:            rand.New(rand.NewPCG(n.options.Seed, 0)),
	}, state, time.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	n.core = core
	n.publish()
	return nil
}

// DiskID implements Group.
func (n *Node) DiskID() string { return n.diskID }

// Run runs the member until ctx ends or the storage fails permanently, which
// returns ErrStorage. It must be called at most once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	n.options.Part.Info("Started.", "disk", n.DiskID(), "group", n.group)
	for {
		err := n.loop(ctx)
		if err == nil {
			n.failAll(ErrNotLeader)
			return trace.Wrap(n.store.Close())
		}
		n.handleStorageFailure(err)
		if !n.options.Reopen {
			return trace.Wrap(ErrStorage, "%v", err)
		}
		if err := n.reopen(ctx); err != nil || ctx.Err() != nil {
			n.failAll(ErrStorage)
			return err
		}
	}
}

// loop processes events and timers. It returns nil when ctx ends, and an error
// when the storage fails.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case e := <-n.inbox:
			e.run(n, time.Now())
			n.runQueuedEvents(e.size())
		}
		if err := n.processDue(); err != nil {
			return err
		}
	}
}

// runQueuedEvents runs the events in the queue, so that one sync covers all of
// them.
func (n *Node) runQueuedEvents(size int) {
	for count := 0; count < maxBatchEvents && size < maxBatchBytes; count++ {
		select {
		case e := <-n.inbox:
			e.run(n, time.Now())
			size += e.size()
		default:
			return
		}
	}
}

// processDue advances the core's timers and processes its pending work.
func (n *Node) processDue() error {
	if n.failed.Load() {
		return ErrStorage
	}
	now := time.Now()
	n.core.Tick(now)
	n.core.Flush(now)
	for n.core.HasReady() {
		if err := n.processReady(n.core.Ready()); err != nil {
			return err
		}
	}
	if err := n.snapshotIfDue(); err != nil {
		return err
	}
	n.publish()
	n.completePending()
	return nil
}

// handleStorageFailure stops this member after a storage error. Its files may
// lack state that later messages would rely on, and may or may not hold the
// latest proposals. So no messages are sent, and pending proposals fail with
// ErrUncertain.
func (n *Node) handleStorageFailure(cause error) {
	n.failed.Store(true)
	n.options.Part.Error("Storage failed.", "reopens", n.options.Reopen, "err", cause)
	n.metrics.storageFailed.Set(1)
	n.failAll(ErrStorage)
}

// failAll fails all pending calls and all queued events. Reads and queued events
// fail with cause.
func (n *Node) failAll(cause error) {
	n.failPending(cause)
	for {
		select {
		case e := <-n.inbox:
			e.reject(cause)
		default:
			return
		}
	}
}

// address returns the RPC address of a disk's member. The address in the
// member's own messages is newer than the one in the membership.
func (n *Node) address(diskID string) string {
	if address := n.knownAddresses[diskID]; address != "" {
		return address
	}
	for _, m := range n.core.Status().Membership.GetMembers() {
		if m.DiskId == diskID {
			return m.RpcAddress
		}
	}
	return ""
}

func (n *Node) learnAddress(m *pb.ConsensusMessage) {
	if m.FromAddress == "" || n.knownAddresses[m.From] == m.FromAddress {
		return
	}
	if len(n.knownAddresses) >= maxKnownAddresses {
		clear(n.knownAddresses)
	}
	n.knownAddresses[m.From] = m.FromAddress
}
