package route

import (
	"context"
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

var errAborted = errors.New("this entry has lost its place in the fleet")

// Abort ends all requests in flight, and each later one, with a final answer:
// "not run" if nothing was sent, otherwise "failed" or "unknown". It doesn't wait.
//
// It is called when the entry loses its place in the fleet or one of its parts
// fails, before the server closes the connections. Otherwise callers would see
// streams cut off, and callers of calls that must not be repeated would learn
// nothing.
func (r *Router) Abort() { r.cancelAll(errAborted) }

// withAbort returns a context that also ends at Abort, and its cancel function.
func (r *Router) withAbort(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unfollow := context.AfterFunc(r.abortContext, func() { cancel(errAborted) })
	return ctx, func() {
		unfollow()
		cancel(context.Canceled)
	}
}

func isAborted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errAborted) }

func abortedFailure() *Failure {
	return refused(callerapi.CodeNotCurrent, "this entry has lost its place in the fleet", 0)
}

// followerFailure returns the failure of a caller that follows a shared request,
// after the caller's own context has ended. The outcome of the shared request isn't
// known here.
func followerFailure(ctx context.Context) *Failure {
	if !isAborted(ctx) {
		return callerDisconnectedFailure()
	}
	f := abortedFailure()
	f.Outcome = callerapi.OutcomeUnknown
	return f
}
