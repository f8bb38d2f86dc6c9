package testkit

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// linkChunkBytes is the number of bytes of one reply that are transferred before another
// reply gets its turn.
const linkChunkBytes = 16 << 10

// link delivers replies to one process at a limited rate, which concurrent replies share.
// A nil link delivers them immediately. When a call is cancelled, the part of its reply
// that has been transferred is lost.
type link struct {
	bytesPerSecond int
	slot           chan struct{} // holds one element while a chunk is transferred
}

func newLink(bytesPerSecond int) *link {
	return &link{bytesPerSecond: bytesPerSecond, slot: make(chan struct{}, 1)}
}

// transfer returns nil once size bytes have arrived, or an error when ctx ends.
func (l *link) transfer(ctx context.Context, size int) error {
	for size > 0 && l != nil {
		chunk := min(size, linkChunkBytes)
		if err := l.transferChunk(ctx, chunk); err != nil {
			return err
		}
		size -= chunk
		rpc.TransferFromContext(ctx).RecordReceived(chunk)
	}
	rpc.TransferFromContext(ctx).RecordReceived(size)
	return ctx.Err()
}

func (l *link) transferChunk(ctx context.Context, size int) error {
	select {
	case l.slot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	time.Sleep(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	<-l.slot
	return ctx.Err()
}
