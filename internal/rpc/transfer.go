package rpc

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// ErrSilent: nothing of an answer came for too long.
var ErrSilent = errors.New("the peer is silent")

// Transfer watches how one call and its answer travel, and ends a call of which
// nothing moves for a while.
//
// Failure guarded: a limit on a whole call is exceeded by any answer that is large
// enough for the link. The call is given up when most of the answer is here, the
// next one begins anew, and the answer never arrives. Silence has nothing to do
// with the size: a peer that is slow is waited for, one that was cut off is left.
type Transfer struct {
	began    time.Time
	silence  time.Duration
	received atomic.Int64 // bytes
	newest   atomic.Int64 // when a byte moved last, ns after began
	cancel   context.CancelCauseFunc
	timer    *time.Timer
}

// transferKey is the context key of a Transfer.
type transferKey struct{}

// WithTransfer gives the context of one call, which ends when nothing of it or its
// answer moved for silence. End must be called.
func WithTransfer(ctx context.Context, silence time.Duration) (context.Context, *Transfer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{began: time.Now(), silence: silence, cancel: cancel}
	t.timer = time.AfterFunc(math.MaxInt64, t.check)
	t.timer.Reset(silence) // not before check may read timer
	return context.WithValue(ctx, transferKey{}, t), t
}

// TransferOf gives the Transfer of a call's context, nil when there is none.
func TransferOf(ctx context.Context) *Transfer {
	t, _ := ctx.Value(transferKey{}).(*Transfer)
	return t
}

// Arrived notes n bytes of the answer. Connections call it; t may be nil.
func (t *Transfer) Arrived(n int) {
	if t == nil || n == 0 {
		return
	}
	t.received.Add(int64(n))
	t.newest.Store(int64(t.Took()))
}

// Sent notes n bytes of the call that the link has taken, as Arrived does.
func (t *Transfer) Sent(n int) {
	if t != nil && n > 0 {
		t.newest.Store(int64(t.Took()))
	}
}

func (t *Transfer) check() {
	quiet := t.Took() - time.Duration(t.newest.Load())
	if quiet >= t.silence {
		t.cancel(ErrSilent)
		return
	}
	t.timer.Reset(t.silence - quiet)
}

// Received gives the bytes that have come, framing included.
func (t *Transfer) Received() int64 { return t.received.Load() }

// Took gives the time since the call began.
func (t *Transfer) Took() time.Duration { return time.Since(t.began) }

// End releases what the watch holds, and tells why the call ended: err, which may
// be nil, or that the peer was silent.
func (t *Transfer) End(ctx context.Context, err error) error {
	t.timer.Stop()
	t.cancel(nil)
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		return trace.ConnectionProblem(ErrSilent, "nothing came for %s", t.silence)
	}
	return err
}
