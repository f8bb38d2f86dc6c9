package follower

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// runFetcher requests blocks until ctx ends.
func (f *Follower) runFetcher(ctx context.Context, fetcher int) error {
	failures := 0
	delay := minRetryDelay
	for ctx.Err() == nil {
		requested, wake := f.nextBlocks()
		if len(requested) == 0 {
			awaitSignal(ctx, wake)
			continue
		}
		if f.fetchFrom(ctx, f.pickSource(fetcher, failures), requested) {
			failures, delay = 0, minRetryDelay
			continue
		}
		failures++
		sleep.For(ctx, delay)
		delay = nextRetryDelay(delay)
	}
	return nil
}

func awaitSignal(ctx context.Context, wake <-chan struct{}) {
	select {
	case <-wake:
	case <-ctx.Done():
	}
}

// nextBlocks returns blocks to request, and a channel that is closed when there may be
// others.
func (f *Follower) nextBlocks() ([]blocks.Sum, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.download.nextBlocks(), f.wake
}

// wakeFetchers notifies the fetchers that there may be blocks to request. It is called
// with f.mu held.
func (f *Follower) wakeFetchers() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// pickSource returns the member to request blocks from after a number of failures in a
// row: first those that announced the version, a different one for each fetcher.
//
// This guards against requests to a member that was cut off or whose log is behind: the
// entry would keep the previous version until that member counts as silent. A member that
// has just announced a version has contact with the leader and holds the blocks.
func (f *Follower) pickSource(fetcher, failures int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failures < len(f.versionSources) {
		return f.versionSources[(fetcher+failures)%len(f.versionSources)]
	}
	return f.members[f.nextMember.Add(1)%uint64(len(f.members))]
}

// fetchFrom requests blocks from a member and reports whether any were received. It also
// returns true when ctx has ended.
func (f *Follower) fetchFrom(ctx context.Context, member string, requested []blocks.Sum) bool {
	transferCtx, transfer := rpc.WithTransfer(ctx, blocksIdleTimeout)
	reply, err := f.callBlocks(transferCtx, member, requested)
	err = transfer.End(transferCtx, err)
	added, addErr := f.addBlocks(requested, reply.GetPacked())
	if err == nil {
		err = addErr
	}
	if added > 0 || ctx.Err() != nil {
		return true
	}
	f.metrics.failedBlocks.Add(float64(len(requested)))
	f.options.Part.Info("Fetching blocks failed.", "from", member, "blocks", len(requested),
		"took_ms", transfer.Elapsed().Milliseconds(), "received_bytes", transfer.ReceivedBytes(), "err", err)
	return false
}

func (f *Follower) callBlocks(ctx context.Context, member string, requested []blocks.Sum) (*pb.BlocksReply, error) {
	conn, err := f.options.Dialer.Conn(ctx, member)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCCoordinatorClient(conn).Blocks(ctx, &pb.BlocksRequest{Blocks: blocks.EncodeSums(requested)})
}

// addBlocks adds a reply and, if that completes the document, puts it into force.
func (f *Follower) addBlocks(requested []blocks.Sum, packed [][]byte) (added int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	added, err = f.download.addBlocks(requested, packed)
	for _, p := range packed {
		f.metrics.received.Add(float64(len(p)))
	}
	if added < len(requested) {
		f.wakeFetchers() // the other fetcher may request the rest
	}
	f.finishDocument()
	return added, err
}
