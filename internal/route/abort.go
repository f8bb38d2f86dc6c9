package route

import (
	"context"
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

var errAborted = errors.New("this entry has lost its place")

// Abort ends each request in flight, and each later one, with a clear last
// answer: what was not sent is not run, the rest failed or unknown. It doesn't
// wait.
//
// Failure: a daemon loses its place in the fleet or a part of it fails. Its
// server closes the connections; the caller of a stream sees it cut, and that
// of a call that may not be repeated learns nothing. With the requests ended
// first, their handlers write the last events before the server closes.
func (r *Router) Abort() { r.abort(errAborted) }

// abortable gives a context that also ends at Abort, and its end.
func (r *Router) abortable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unfollow := context.AfterFunc(r.life, func() { cancel(errAborted) })
	return ctx, func() {
		unfollow()
		cancel(context.Canceled)
	}
}

func isAborted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errAborted) }

func aborted() *Failure {
	return refused(callerapi.CodeNotCurrent, "this entry has lost its place in the fleet", 0)
}

// endOf is the answer of a caller that follows a run, once its own context has
// ended. What becomes of the run isn't known here.
func endOf(ctx context.Context) *Failure {
	if !isAborted(ctx) {
		return callerGone()
	}
	f := aborted()
	f.Outcome = callerapi.OutcomeUnknown
	return f
}
