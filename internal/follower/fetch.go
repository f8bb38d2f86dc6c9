package follower

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// fetch asks for blocks until ctx ends.
func (f *Follower) fetch(ctx context.Context, way int) error {
	failures := 0
	pause := turnPause
	for ctx.Err() == nil {
		asked, woken := f.nextBlocks()
		if len(asked) == 0 {
			awaitEither(ctx, woken)
			continue
		}
		if f.fetchFrom(ctx, f.source(way, failures), asked) {
			failures, pause = 0, turnPause
			continue
		}
		failures++
		sleep.For(ctx, pause)
		pause = longer(pause)
	}
	return nil
}

func awaitEither(ctx context.Context, woken <-chan struct{}) {
	select {
	case <-woken:
	case <-ctx.Done():
	}
}

// nextBlocks gives blocks to ask for, and a channel that is closed when there may
// be others.
func (f *Follower) nextBlocks() ([]blocks.Sum, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.download.next(), f.woken
}

// wakeFetchers is called with f.mu held.
func (f *Follower) wakeFetchers() {
	close(f.woken)
	f.woken = make(chan struct{})
}

// source gives the member to ask for blocks after some failures in a row: first
// those that told of the version, each way another one.
//
// Failure guarded: a member is asked that was cut off, or whose log is behind, and
// the entry serves on by the version before until that member counts as silent.
// Who has just told of a version is in touch and holds its blocks.
func (f *Follower) source(way, failures int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failures < len(f.tellers) {
		return f.tellers[(way+failures)%len(f.tellers)]
	}
	return f.members[f.turn.Add(1)%uint64(len(f.members))]
}

// fetchFrom asks a member for blocks, and tells whether any came.
func (f *Follower) fetchFrom(ctx context.Context, member string, asked []blocks.Sum) bool {
	watched, transfer := rpc.WithTransfer(ctx, blocksSilence)
	reply, err := f.callBlocks(watched, member, asked)
	err = transfer.End(watched, err)
	came, bad := f.takeBlocks(asked, reply.GetPacked())
	if err == nil {
		err = bad
	}
	if came > 0 || ctx.Err() != nil {
		return true
	}
	f.metrics.givenUp.Add(float64(len(asked)))
	f.options.Part.Info("Blocks didn't come.", "from", member, "blocks", len(asked),
		"took_ms", transfer.Took().Milliseconds(), "received_bytes", transfer.Received(), "err", err)
	return false
}

func (f *Follower) callBlocks(ctx context.Context, member string, asked []blocks.Sum) (*pb.BlocksReply, error) {
	conn, err := f.options.Dialer.Conn(ctx, member)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCCoordinatorClient(conn).Blocks(ctx, &pb.BlocksRequest{Blocks: blocks.EncodeSums(asked)})
}

// takeBlocks takes in an answer, and puts the document into force that it
// completes.
func (f *Follower) takeBlocks(asked []blocks.Sum, packed [][]byte) (came int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	came, err = f.download.take(asked, packed)
	for _, p := range packed {
		f.metrics.received.Add(float64(len(p)))
	}
	if came < len(asked) {
		f.wakeFetchers() // the other way may ask for the rest
	}
	f.finishDocument()
	return came, err
}
