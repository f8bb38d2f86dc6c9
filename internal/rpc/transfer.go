package rpc

import (
	"context"
	"sync/atomic"
	"time"
)

// Transfer watches how the answer to one call arrives. A nil *Transfer watches
// nothing.
type Transfer struct {
	began    time.Time
	received atomic.Int64
}

// transferKey is the context key of a Transfer.
type transferKey struct{}

// WithTransfer makes the call that is given the context tell what arrives.
func WithTransfer(ctx context.Context) (context.Context, *Transfer) {
	t := &Transfer{began: time.Now()}
	return context.WithValue(ctx, transferKey{}, t), t
}

// TransferOf gives the Transfer of a call's context, nil when there is none.
func TransferOf(ctx context.Context) *Transfer {
	t, _ := ctx.Value(transferKey{}).(*Transfer)
	return t
}

// Arrived notes n bytes of the answer. Connections call it.
func (t *Transfer) Arrived(n int) {
	if t != nil {
		t.received.Add(int64(n))
	}
}

// Received gives the bytes that have come, framing included.
func (t *Transfer) Received() int64 { return t.received.Load() }

// Took gives the time since the call began.
func (t *Transfer) Took() time.Duration { return time.Since(t.began) }
