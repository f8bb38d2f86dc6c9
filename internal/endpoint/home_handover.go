package endpoint

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// A handover is retried because the next home may not have the new view yet.
// Without the handover, the next home only waits longer.
const (
	maxHandoverAttempts = 5
	handoverTimeout     = 300 * time.Millisecond
	handoverPause       = 100 * time.Millisecond
)

func (h *Home) handOver(ctx context.Context, m handover) {
	for range maxHandoverAttempts {
		if h.handOverOnce(ctx, m) || ctx.Err() != nil {
			return
		}
		sleep.For(ctx, handoverPause)
	}
	h.options.Part.Debug("Handover was not accepted.", "endpoint", m.message.GetEndpointId(), "address", m.address)
}

func (h *Home) handOverOnce(ctx context.Context, m handover) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	conn, err := h.options.Dialer.Conn(ctx, m.address)
	if err != nil {
		return false
	}
	reply, err := pb.NewDRPCHomeClient(conn).Handover(ctx, m.message)
	return err == nil && reply.GetAccepted()
}
