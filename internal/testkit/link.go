package testkit

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// linkPiece is how many bytes of one answer go before another answer's turn.
const linkPiece = 16 << 10

// link brings one process its answers at a limited rate; a nil link takes no
// time. Answers on their way at one time share the rate. What a call has
// received when it is given up is lost.
type link struct {
	rate int           // bytes a second
	turn chan struct{} // holds one while a piece is on its way
}

func newLink(rate int) *link { return &link{rate: rate, turn: make(chan struct{}, 1)} }

// carry returns once size bytes have arrived, or ctx has ended.
func (l *link) carry(ctx context.Context, size int) error {
	for size > 0 && l != nil {
		piece := min(size, linkPiece)
		if err := l.carryPiece(ctx, piece); err != nil {
			return err
		}
		size -= piece
		rpc.TransferOf(ctx).Arrived(piece)
	}
	rpc.TransferOf(ctx).Arrived(size)
	return ctx.Err()
}

func (l *link) carryPiece(ctx context.Context, size int) error {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	time.Sleep(time.Duration(size) * time.Second / time.Duration(l.rate))
	<-l.turn
	return ctx.Err()
}
