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

// sharedRequest is a keyed model request that runs at this entry, shared by its
// callers.
type sharedRequest struct {
	fingerprint fleet.Fingerprint
	out         *broadcast
	cancel      context.CancelFunc
	done        chan struct{} // closed when the request holds nothing any more
}

// sharedRequests are the keyed model requests that run at this entry.
type sharedRequests struct {
	mu       sync.Mutex
	requests map[outcome.Key]*sharedRequest
}

func newSharedRequests() *sharedRequests {
	return &sharedRequests{requests: map[outcome.Key]*sharedRequest{}}
}

// findOrAdd returns the running request with the key, or adds fresh.
func (s *sharedRequests) findOrAdd(k outcome.Key, fresh *sharedRequest) (found *sharedRequest, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request, ok := s.requests[k]; ok {
		return request, false
	}
	s.requests[k] = fresh
	return fresh, true
}

func (s *sharedRequests) remove(k outcome.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, k)
}

// running returns the number of requests, including those whose callers have all
// disconnected.
func (s *sharedRequests) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// runOrJoin joins the running request with the same key or starts one. A shared
// request isn't bound to the caller that started it; it ends when its last caller
// disconnects.
func (r *Router) runOrJoin(ctx context.Context, req ModelRequest, params modelParams, f fleet.Fingerprint, sink Sink) ModelResult {
	key := r.hash.recordKey(req.Team, req.Key, 0)
	for {
		runCtx, cancel := r.sharedContext(ctx)
		fresh := &sharedRequest{fingerprint: f, out: newBroadcast(r.bounds.MaxReplayBytes), cancel: cancel, done: make(chan struct{})}
		position, _ := fresh.out.addReader()
		running, isNew := r.shared.findOrAdd(key, fresh)
		if isNew {
			go r.runShared(runCtx, key, running, req, params)
			return running.follow(ctx, position, sink)
		}
		cancel()
		answer, joined := r.join(ctx, running, f, sink)
		if joined {
			return answer
		}
	}
}

// sharedContext returns a context for a shared request, independent of its callers.
func (r *Router) sharedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := r.withAbort(context.WithoutCancel(ctx))
	ctx, cancel := context.WithTimeout(ctx, r.bounds.MaxRequestDuration)
	return ctx, func() {
		cancel()
		stop()
	}
}

// join follows a request that already runs. joined is false if that request had
// failed, or was cancelled because all its callers had disconnected, and has ended:
// the request then runs again.
func (r *Router) join(ctx context.Context, running *sharedRequest, f fleet.Fingerprint, sink Sink) (answer ModelResult, joined bool) {
	if running.fingerprint != f {
		return ModelResult{Failure: keyReusedFailure()}, true
	}
	if !running.out.failed() {
		position, ok := running.out.addReader()
		if !ok {
			return ModelResult{Failure: inFlightFailure()}, true
		}
		answer = running.follow(ctx, position, sink)
		abandoned := answer.Failure != nil && answer.Failure.Code == codeAbandoned
		if !abandoned || ctx.Err() != nil {
			return answer, true
		}
	}
	select {
	case <-running.done:
		return ModelResult{}, false
	case <-ctx.Done():
		return ModelResult{Failure: followerFailure(ctx)}, true
	}
}

// codeAbandoned marks the end of a shared request whose callers have all
// disconnected. It is never sent to a caller.
const codeAbandoned callerapi.Code = "abandoned"

// runShared claims the key, runs the request and records its outcome. The key is
// claimed before admission, so that a refusal is recorded as "not run", which holds
// at all entries, and a later repeat may still use the key.
func (r *Router) runShared(ctx context.Context, key outcome.Key, shared *sharedRequest, req ModelRequest, params modelParams) {
	defer close(shared.done)
	defer r.shared.remove(key)
	defer shared.cancel()
	// This goroutine isn't called by an HTTP handler, whose panics the server recovers:
	// a panic here would end the process and all its requests.
	defer func() {
		if cause := recover(); cause != nil {
			r.opts.Logger.Error("a keyed model request panicked", "request", req.ID)
			shared.out.finish(ModelResult{Failure: panicFailure()})
		}
	}()
	r.claimAndRun(ctx, req, params, shared)
}

// markAbandoned marks the failure of a request that was cancelled because all its
// callers had disconnected, so that callers that join it run it again.
func markAbandoned(ctx context.Context, a ModelResult) ModelResult {
	if a.Failure == nil || ctx.Err() != context.Canceled || isAborted(ctx) {
		return a
	}
	out := *a.Failure
	out.Code = codeAbandoned
	a.Failure = &out
	return a
}

func panicFailure() *Failure {
	return &Failure{
		Code:    callerapi.CodeInternal,
		Message: "the entry failed while it held the request",
		Outcome: callerapi.OutcomeUnknown,
	}
}

// claimAndRun answers the callers before it records the outcome at the ledger. If the
// record is lost, a repeat may run the request again, which is harmless for a model
// request.
func (r *Router) claimAndRun(ctx context.Context, req ModelRequest, params modelParams, shared *sharedRequest) {
	claim, failure := r.claimKey(ctx, req, params, shared.fingerprint)
	if failure != nil {
		shared.out.finish(markAbandoned(ctx, ModelResult{Failure: failure}))
		return
	}
	m := r.newActiveModelRequest(req, params, shared.fingerprint, broadcastSink{ctx: ctx, out: shared.out})
	kind := pb.OutcomeKind_OUTCOME_KIND_UNKNOWN // recorded if the run panics
	defer func() {
		m.awaitCancels()
		r.recordOutcome(claim.Claim, kind, 0)
	}()
	a := m.admitAndRun(ctx)
	kind = outcomeKind(a.Failure)
	if claim.ranBefore {
		a.Failure = unknownIfKeyed(req.Key, a.Failure)
	}
	shared.out.finish(markAbandoned(ctx, a))
}

func outcomeKind(f *Failure) pb.OutcomeKind {
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

// broadcastSink writes to a broadcast.
type broadcastSink struct {
	ctx context.Context
	out *broadcast
}

// WriteChunk implements Sink.
func (s broadcastSink) WriteChunk(c engineapi.Chunk) error { return s.out.append(s.ctx, c) }

// follow passes the output to one caller until its end. When the last caller leaves,
// it cancels the request.
func (s *sharedRequest) follow(ctx context.Context, reader *reader, sink Sink) ModelResult {
	defer func() {
		if s.out.removeReader(reader) {
			s.cancel()
		}
	}()
	for {
		b := s.out.read(reader)
		for _, chunk := range b.chunks {
			if err := sink.WriteChunk(chunk); err != nil {
				return ModelResult{Failure: callerDisconnectedFailure()}
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
			return ModelResult{Failure: followerFailure(ctx)}
		}
	}
}
