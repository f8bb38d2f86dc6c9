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

// The bounds of one turn of the loop and of what waits for it.
const (
	inboxLength = 4096
	turnEvents  = 512
	turnBytes   = 16 << 20
	knownLimit  = 64
)

// Node is one member of the group. One goroutine, that of Run, owns the core,
// the store and the state machine; all others hand it events, so there are no
// locks to order.
type Node struct {
	options Options
	diskID  string
	store   *storage.Store
	core    *consensus.Core
	group   string
	known   map[string]string // disk ID to address, as messages tell

	inbox     chan event
	done      chan struct{} // closed when Run ends
	published atomic.Pointer[published]
	failed    atomic.Bool   // storage failed
	written   chan struct{} // closed when the newest write has ended
	metrics   *metrics

	applied   uint64
	newBytes  uint64 // of the entries applied since the newest snapshot
	nextRead  uint64
	proposals map[uint64]proposal // by index
	reads     map[uint64]chan error
	changes   []memberChange
	handovers []handoverEvent
}

// New opens the data folder and restores the state machine. An error that is
// *storage.ErrCorrupt means that the folder can't be trusted any more.
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
		known: map[string]string{},
		inbox: make(chan event, inboxLength), done: make(chan struct{}),
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

// Run works until ctx ends, which gives nil, or the storage fails for good,
// which gives ErrStorage. It may be called once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	n.options.Part.Info("Started.", "disk", n.DiskID(), "group", n.group)
	for {
		err := n.work(ctx)
		if err == nil {
			n.stop(ErrNotLeader)
			return trace.Wrap(n.store.Close())
		}
		n.failStorage(err)
		if !n.options.Reopen {
			return trace.Wrap(ErrStorage, "%v", err)
		}
		if err := n.reopen(ctx); err != nil || ctx.Err() != nil {
			n.stop(ErrStorage)
			return err
		}
	}
}

// work takes in events and carries out what is due until ctx ends, which gives
// nil, or the storage fails.
func (n *Node) work(ctx context.Context) error {
	ticker := time.NewTicker(n.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case e := <-n.inbox:
			e.run(n, time.Now())
			n.drain(e.size())
		}
		if err := n.turn(); err != nil {
			return err
		}
	}
}

// drain takes in the events that wait, so that one sync serves all of them.
func (n *Node) drain(size int) {
	for count := 0; count < turnEvents && size < turnBytes; count++ {
		select {
		case e := <-n.inbox:
			e.run(n, time.Now())
			size += e.size()
		default:
			return
		}
	}
}

// turn lets time pass and carries out what is due.
func (n *Node) turn() error {
	if n.failed.Load() {
		return ErrStorage
	}
	now := time.Now()
	n.core.Tick(now)
	n.core.Flush(now)
	for n.core.HasReady() {
		if err := n.carryOut(n.core.Ready()); err != nil {
			return err
		}
	}
	if err := n.snapshotIfDue(); err != nil {
		return err
	}
	n.publish()
	n.settle()
	return nil
}

// failStorage ends this member's work on its open files. They may not hold what
// it would promise next, and what it was asked last may or may not be on them,
// so it sends nothing more and leaves proposals uncertain.
func (n *Node) failStorage(cause error) {
	n.failed.Store(true)
	n.options.Part.Error("Storage failed.", "reopens", n.options.Reopen, "err", cause)
	n.metrics.storageFailed.Set(1)
	n.stop(ErrStorage)
}

// stop answers all who wait.
func (n *Node) stop(reads error) {
	n.failWaiting(reads)
	for {
		select {
		case e := <-n.inbox:
			e.refuse(reads)
		default:
			return
		}
	}
}

// address gives where a disk's member takes messages; what it said itself is
// newer than the membership.
func (n *Node) address(diskID string) string {
	if address := n.known[diskID]; address != "" {
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
	if m.FromAddress == "" || n.known[m.From] == m.FromAddress {
		return
	}
	if len(n.known) >= knownLimit {
		clear(n.known)
	}
	n.known[m.From] = m.FromAddress
}
