package rpc

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// ErrNoProgress is returned by a call that was ended because no bytes of it or its
// response were transferred for too long.
var ErrNoProgress = errors.New("the peer is silent")

// Transfer watches the progress of one call and its response, and ends the call when
// no bytes are transferred for idleTimeout.
//
// A timeout for the whole call would be exceeded by any response that is too large
// for the link: the call would be ended when most of the response had arrived, the
// next call would start over, and the response would never arrive. An idle timeout
// doesn't depend on the size: a slow peer is waited for, an unreachable one is not.
type Transfer struct {
	began        time.Time
	idleTimeout  time.Duration
	received     atomic.Int64 // bytes
	lastProgress atomic.Int64 // when a byte was last transferred, ns after began
	cancel       context.CancelCauseFunc
	timer        *time.Timer
}

// transferKey is the context key of a Transfer.
type transferKey struct{}

// WithTransfer returns the context of one call, which ends when no bytes of the call
// or its response are transferred for idleTimeout. The caller must call End.
func WithTransfer(ctx context.Context, idleTimeout time.Duration) (context.Context, *Transfer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{began: time.Now(), idleTimeout: idleTimeout, cancel: cancel}
	t.timer = time.AfterFunc(math.MaxInt64, t.checkProgress)
	t.timer.Reset(idleTimeout) // only now, since checkProgress reads t.timer
	return context.WithValue(ctx, transferKey{}, t), t
}

// TransferFromContext returns the Transfer of a call's context; nil if there is none.
func TransferFromContext(ctx context.Context) *Transfer {
	t, _ := ctx.Value(transferKey{}).(*Transfer)
	return t
}

// RecordReceived records that n bytes of the response were received. Connections call it;
// t may be nil.
func (t *Transfer) RecordReceived(n int) {
	if t == nil || n == 0 {
		return
	}
	t.received.Add(int64(n))
	t.lastProgress.Store(int64(t.Elapsed()))
}

// RecordSent records that n bytes of the call were sent. Connections call it; t may be nil.
func (t *Transfer) RecordSent(n int) {
	if t != nil && n > 0 {
		t.lastProgress.Store(int64(t.Elapsed()))
	}
}

func (t *Transfer) checkProgress() {
	idle := t.Elapsed() - time.Duration(t.lastProgress.Load())
	if idle >= t.idleTimeout {
		t.cancel(ErrNoProgress)
		return
	}
	t.timer.Reset(t.idleTimeout - idle)
}

// ReceivedBytes returns the number of bytes received so far, framing included.
func (t *Transfer) ReceivedBytes() int64 { return t.received.Load() }

// Elapsed returns the time since the call began.
func (t *Transfer) Elapsed() time.Duration { return time.Since(t.began) }

// End stops the timer and releases the context. It returns err, which may be nil, or
// an error that wraps ErrNoProgress if that ended the call.
func (t *Transfer) End(ctx context.Context, err error) error {
	t.timer.Stop()
	t.cancel(nil)
	if err != nil && errors.Is(context.Cause(ctx), ErrNoProgress) {
		return trace.ConnectionProblem(ErrNoProgress, "nothing came for %s", t.idleTimeout)
	}
	return err
}
