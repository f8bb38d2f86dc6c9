package route

import (
	"context"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// modelCall is a keyed request that runs here, shared by its callers.
type modelCall struct {
	fingerprint fleet.Fingerprint
	out         *broadcast
	cancel      context.CancelFunc
	done        chan struct{} // closed when nothing of it is held any more
}

// callTable holds the keyed requests that run here.
type callTable struct {
	mu    sync.Mutex
	calls map[outcome.Key]*modelCall
}

func newCallTable() *callTable { return &callTable{calls: map[outcome.Key]*modelCall{}} }

// find gives the running call, or puts fresh in its place.
func (t *callTable) find(k outcome.Key, fresh *modelCall) (found *modelCall, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.calls[k]; ok {
		return c, false
	}
	t.calls[k] = fresh
	return fresh, true
}

func (t *callTable) remove(k outcome.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, k)
}

// running counts the calls, those whose callers have gone included.
func (t *callTable) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// keyed joins the running call of the same key or starts one. The run isn't
// bound to the caller that started it, but to the last one that listens.
func (r *Router) keyed(ctx context.Context, req ModelRequest, c class, f fleet.Fingerprint, sink Sink) Answer {
	name := r.hash.recordKey(req.Team, req.Key, 0)
	for {
		runCtx, cancel := r.keyedContext(ctx)
		fresh := &modelCall{fingerprint: f, out: newBroadcast(r.bounds.JoinBytes), cancel: cancel, done: make(chan struct{})}
		place, _ := fresh.out.join()
		call, isNew := r.calls.find(name, fresh)
		if isNew {
			go r.runKeyed(runCtx, name, call, req, c)
			return call.follow(ctx, place, sink)
		}
		cancel()
		answer, joined := r.join(ctx, call, f, sink)
		if joined {
			return answer
		}
	}
}

// keyedContext gives a run that isn't bound to one caller its own life.
func (r *Router) keyedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := r.abortable(context.WithoutCancel(ctx))
	ctx, cancel := context.WithTimeout(ctx, r.bounds.StreamTime)
	return ctx, func() {
		cancel()
		stop()
	}
}

// join follows a call that runs already. joined is false when that had failed
// or was cancelled for want of callers, and has now ended: the request runs
// anew.
func (r *Router) join(ctx context.Context, call *modelCall, f fleet.Fingerprint, sink Sink) (answer Answer, joined bool) {
	if call.fingerprint != f {
		return Answer{Failure: keyReused()}, true
	}
	if !call.out.failed() {
		place, ok := call.out.join()
		if !ok {
			return Answer{Failure: inFlight()}, true
		}
		answer = call.follow(ctx, place, sink)
		abandoned := answer.Failure != nil && answer.Failure.Code == codeAbandoned
		if !abandoned || ctx.Err() != nil {
			return answer, true
		}
	}
	select {
	case <-call.done:
		return Answer{}, false
	case <-ctx.Done():
		return Answer{Failure: endOf(ctx)}, true
	}
}

// codeAbandoned marks the end of a run whose callers had all gone. It never
// reaches a caller.
const codeAbandoned callerapi.Code = "abandoned"

// runKeyed claims the key, runs the request and records its end. The claim
// comes before admission: a refusal is then recorded as "not run", which holds
// over all entries, and the key stays usable for a later repeat.
func (r *Router) runKeyed(ctx context.Context, name outcome.Key, call *modelCall, req ModelRequest, c class) {
	defer close(call.done)
	defer r.calls.remove(name)
	defer call.cancel()
	// A panic here would end the process and all its requests, as no handler
	// of the HTTP server stands above this goroutine.
	defer func() {
		if cause := recover(); cause != nil {
			r.opts.Part.Error("a keyed run panicked", "request", req.ID)
			call.out.end(Answer{Failure: panicked()})
		}
	}()
	r.claimAndRun(ctx, req, c, call)
}

// mark tells joiners of a run whose callers had all gone.
func mark(ctx context.Context, a Answer) Answer {
	if a.Failure == nil || ctx.Err() != context.Canceled || isAborted(ctx) {
		return a
	}
	out := *a.Failure
	out.Code = codeAbandoned
	a.Failure = &out
	return a
}

func panicked() *Failure {
	return &Failure{
		Code:    callerapi.CodeInternal,
		Message: "the entry failed while it held the request",
		Outcome: callerapi.OutcomeUnknown,
	}
}

// claimAndRun gives the callers their answer first and the ledger its record
// after that: one that is lost in between lets a repeat run again, which is
// harmless here.
func (r *Router) claimAndRun(ctx context.Context, req ModelRequest, c class, call *modelCall) {
	claim, failure := r.claimKey(ctx, req, c, call.fingerprint)
	if failure != nil {
		call.out.end(mark(ctx, Answer{Failure: failure}))
		return
	}
	m := r.newRun(req, c, call.fingerprint, callSink{ctx: ctx, out: call.out})
	kind := pb.OutcomeKind_OUTCOME_KIND_UNKNOWN // should the run panic
	defer func() {
		m.awaitGone()
		r.finish(claim.Claim, kind, 0)
	}()
	a := m.admitAndRun(ctx)
	kind = kindOf(a.Failure)
	if claim.ranBefore {
		a.Failure = unsureOfKey(req.Key, a.Failure)
	}
	call.out.end(mark(ctx, a))
}

func kindOf(f *Failure) pb.OutcomeKind {
	switch {
	case f == nil:
		return pb.OutcomeKind_OUTCOME_KIND_COMPLETED
	case f.Outcome == callerapi.OutcomeNotRun:
		return pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	case f.Outcome == callerapi.OutcomeUnknown:
		return pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
	}
	return pb.OutcomeKind_OUTCOME_KIND_FAILED
}

// callSink is the running end of a broadcast.
type callSink struct {
	ctx context.Context
	out *broadcast
}

// Pass implements Sink.
func (s callSink) Pass(c engineapi.Chunk) error { return s.out.pass(s.ctx, c) }

// follow passes the call's output to one caller until its end. The last
// caller that leaves cancels the run and waits until nothing is held.
func (c *modelCall) follow(ctx context.Context, place *reader, sink Sink) Answer {
	defer func() {
		if c.out.quit(place) {
			c.cancel()
		}
	}()
	for {
		b := c.out.read(place)
		for _, chunk := range b.chunks {
			if err := sink.Pass(chunk); err != nil {
				return Answer{Failure: callerGone()}
			}
		}
		if b.answer != nil && len(b.chunks) == 0 {
			return *b.answer
		}
		if len(b.chunks) > 0 {
			continue
		}
		select {
		case <-b.changed:
		case <-ctx.Done():
			return Answer{Failure: endOf(ctx)}
		}
	}
}
