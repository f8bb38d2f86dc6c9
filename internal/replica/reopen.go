package replica

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// reopenResult is the reopened store, or the error that prevents reopening.
type reopenResult struct {
	store *storage.Store
	err   error
}

// reopen retries opening the data folder. It returns nil once the folder can be
// written again or ctx ends. Events that arrive meanwhile fail with ErrStorage.
//
// When a disk is full or stalls for some seconds, a process that ended would be
// restarted and wait for the same disk; its callers would be disconnected and
// its supervisor would count a crash. Reopening is as safe as a restart: the
// store trusts none of its open files and copies what it reads into new ones.
// The state machine has applied only committed entries, so it is kept.
func (n *Node) reopen(ctx context.Context) error {
	result := make(chan reopenResult, 1)
	writeEnded := n.lastWriteEnded
	go func() { result <- n.openStoreWithRetry(ctx, writeEnded) }()
	for {
		select {
		case e := <-n.inbox:
			e.reject(ErrStorage)
		case r := <-result:
			if ctx.Err() != nil {
				return nil
			}
			if r.err != nil {
				return trace.Wrap(ErrStorage, "%v", r.err)
			}
			return n.resume(r.store)
		case <-ctx.Done():
			return nil // a hanging write must not delay the shutdown
		}
	}
}

// openStoreWithRetry waits for a hanging write to end, closes the store and opens
// its folder.
func (n *Node) openStoreWithRetry(ctx context.Context, writeEnded <-chan struct{}) reopenResult {
	select {
	case <-writeEnded:
	case <-ctx.Done():
		return reopenResult{err: ctx.Err()}
	}
	_ = n.store.Close() // the files are not used again, so the error doesn't matter
	for {
		store, err := storage.Open(n.options.Dir, n.options.FS)
		var corrupt *storage.ErrCorrupt
		if err == nil || errors.As(err, &corrupt) {
			return reopenResult{store, err}
		}
		n.options.Part.Warn("Can't reopen the data folder; retrying.", "err", err)
		if !sleep.For(ctx, reopenRetryInterval) {
			return reopenResult{err: ctx.Err()}
		}
	}
}

// resume continues with the state of the reopened folder.
func (n *Node) resume(store *storage.Store) error {
	if store.DiskID() != n.diskID {
		return trace.NewAggregate(trace.Wrap(ErrStorage, "the disk was replaced by %s", store.DiskID()), store.Close())
	}
	n.store, n.group = store, store.Group()
	if err := n.restore(store.State()); err != nil {
		return trace.NewAggregate(err, store.Close())
	}
	n.failed.Store(false)
	n.metrics.storageFailed.Set(0)
	n.options.Part.Info("Storage works again.", "applied", n.applied)
	return nil
}
