package replica

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// processReady persists the changes of r, then sends its messages, then applies
// its entries.
func (n *Node) processReady(r consensus.Ready) error {
	if r.NeedsSync() {
		if err := n.writeWithTimeout(readySize(r), func() error { return n.save(r) }); err != nil {
			return err
		}
	}
	for _, m := range r.Messages {
		n.send(m)
	}
	if err := n.apply(r); err != nil {
		return err
	}
	n.completeReads(r.Reads)
	n.core.Advance(time.Now(), r)
	return nil
}

func (n *Node) save(r consensus.Ready) error {
	if r.Snapshot != nil {
		return n.store.Install(r.Snapshot, r.HardState, r.Entries)
	}
	return n.store.Save(r.HardState, r.Entries)
}

// readySize returns the approximate number of bytes that r writes.
func readySize(r consensus.Ready) int {
	size := len(r.Snapshot.GetData())
	for _, e := range r.Entries {
		size += len(e.Data)
	}
	return size
}

// minDiskBytesPerSecond is the minimum write rate of a working disk.
const minDiskBytesPerSecond = 10 << 20

// writeWithTimeout runs a write of size bytes and returns an error if it takes
// too long. Otherwise a stalled disk would block the loop: the member would
// neither lead nor step down, and its callers would hang. The write may still
// complete later, but nothing relies on it, since the caller stops this member
// or reopens the folder.
func (n *Node) writeWithTimeout(size int, write func() error) error {
	began := time.Now()
	limit := n.options.StorageTimeout + time.Duration(size)*time.Second/minDiskBytesPerSecond
	result, ended := make(chan error, 1), make(chan struct{})
	n.lastWriteEnded = ended
	go func() {
		defer close(ended)
		result <- write()
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-result:
		n.metrics.save.Observe(time.Since(began).Seconds())
		return err
	case <-timer.C:
		return trace.LimitExceeded("disk took longer than %s", limit)
	}
}

func (n *Node) send(m *pb.ConsensusMessage) {
	address := n.address(m.To)
	if address == "" {
		return
	}
	m.Group = n.group
	m.FromAddress = n.options.RPCAddress
	n.options.Transport.Send(address, m)
}

func (n *Node) apply(r consensus.Ready) error {
	if s := r.Snapshot; s != nil && s.Index > n.applied {
		if err := n.options.Machine.Restore(s.Index, s.Data); err != nil {
			return trace.Wrap(err, "snapshot %d can't be restored", s.Index)
		}
		n.applied = s.Index
		n.options.Part.Info("Restored a snapshot from the leader.", "index", s.Index)
	}
	for _, e := range r.Committed {
		if e.Index <= n.applied {
			continue // applied before the folder was reopened
		}
		var result []byte
		if e.Kind == pb.EntryKind_ENTRY_KIND_COMMAND {
			result = n.options.Machine.Apply(e.Index, e.Data)
		}
		n.applied = e.Index
		n.bytesSinceSnapshot += uint64(len(e.Data))
		n.completeProposal(e, result)
	}
	return nil
}

// snapshotIfDue takes a snapshot when it is due, which limits the size of the log
// on disk and in memory.
func (n *Node) snapshotIfDue() error {
	status := n.core.Status()
	if status.Applied < n.applied {
		return nil // after a reopen the core doesn't know the commit index yet
	}
	entries := n.applied - status.SnapshotIndex
	if entries < n.options.SnapshotEntries && n.bytesSinceSnapshot < n.options.SnapshotBytes {
		return nil
	}
	n.bytesSinceSnapshot = 0
	s := n.core.SnapshotAt(n.applied)
	data, err := n.options.Machine.Snapshot()
	if err != nil {
		n.options.Part.Error("State can't be encoded; the log goes on growing.", "err", err)
		return nil
	}
	s.Data = data
	if err := n.writeWithTimeout(len(data), func() error { return n.store.SaveSnapshot(s) }); err != nil {
		return err
	}
	n.core.Compact(s, n.options.KeepEntries)
	n.options.Part.Info("Saved a snapshot.", "index", s.Index, "bytes", len(data))
	return nil
}
