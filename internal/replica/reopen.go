package replica

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// reopened is a data folder that was opened anew, or why it never will be.
type reopened struct {
	store *storage.Store
	err   error
}

// reopen reads the data folder anew until it can be written again, and gives
// nil then and when ctx ends. Whoever asks meanwhile is told that the storage
// failed.
//
// Failure: a disk is full or stalls for some seconds. A process that ended then
// was started anew and waited for the same disk; its callers were cut off and
// its supervisor counted one more crash. Reopening is as safe as a restart: the
// store trusts none of its open files, and copies what it reads into fresh ones.
// What the state machine has applied was committed, so it stays.
func (n *Node) reopen(ctx context.Context) error {
	result := make(chan reopened, 1)
	written := n.written
	go func() { result <- n.openAgain(ctx, written) }()
	for {
		select {
		case e := <-n.inbox:
			e.refuse(ErrStorage)
		case r := <-result:
			if ctx.Err() != nil {
				return nil
			}
			if r.err != nil {
				return trace.Wrap(ErrStorage, "%v", r.err)
			}
			return n.goOn(r.store)
		case <-ctx.Done():
			return nil // a write that hangs must not hold up a stop
		}
	}
}

// openAgain waits for a write that hangs, closes the store and opens its folder.
func (n *Node) openAgain(ctx context.Context, written <-chan struct{}) reopened {
	select {
	case <-written:
	case <-ctx.Done():
		return reopened{err: ctx.Err()}
	}
	_ = n.store.Close() // its files are not used again, whatever it says
	for {
		store, err := storage.Open(n.options.Dir, n.options.FS)
		var corrupt *storage.ErrCorrupt
		if err == nil || errors.As(err, &corrupt) {
			return reopened{store, err}
		}
		n.options.Part.Warn("The data folder can't be reopened; trying again.", "err", err)
		if !sleep.For(ctx, reopenPause) {
			return reopened{err: ctx.Err()}
		}
	}
}

// goOn works with what a reopened folder holds.
func (n *Node) goOn(store *storage.Store) error {
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
