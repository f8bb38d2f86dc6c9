package route

import "context"

// earlyGrant is a request for a decode grant that runs while prefill runs, so that
// the wait for the grant doesn't use up the short life of the KV cache.
type earlyGrant struct {
	cancel context.CancelFunc
	result <-chan grantResult // buffered, so the goroutine never blocks; nil once received
}

type grantResult struct {
	grant  *heldGrant
	failed *attemptFailure
}

func (a *attempt) requestGrantEarly(ctx context.Context, want slotRequest) *earlyGrant {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan grantResult, 1)
	copied := a.copyForEarlyGrant()
	go func() {
		h, failed := copied.acquireSlot(ctx, want)
		result <- grantResult{grant: h, failed: failed}
	}()
	return &earlyGrant{cancel: cancel, result: result}
}

// copyForEarlyGrant returns a copy for the goroutine that requests the grant, since
// the attempt and its request change meanwhile.
func (a *attempt) copyForEarlyGrant() *attempt {
	m := a.request
	request := &activeModelRequest{
		router:       m.router,
		req:          m.req,
		params:       m.params,
		fingerprint:  m.fingerprint,
		avoid:        m.avoid.copyWith(),
		passedTokens: m.passedTokens,
		deadline:     m.deadline,
		policies:     m.policies,
	}
	return &attempt{request: request, id: a.id, alone: a.alone, prefill: a.prefill, software: a.software}
}

// wait returns the grant, or a failure if ctx ends first.
func (e *earlyGrant) wait(ctx context.Context) (*heldGrant, *attemptFailure) {
	select {
	case r := <-e.result:
		e.result = nil
		e.cancel()
		return r.grant, r.failed
	case <-ctx.Done():
		return nil, &attemptFailure{cause: causeFromContext(ctx)}
	}
}

// abandon cancels the request and releases a grant that still arrives.
func (e *earlyGrant) abandon(r *Router) {
	if e == nil || e.result == nil {
		return
	}
	e.cancel()
	result := e.result
	e.result = nil
	go func() {
		got := <-result
		r.release(got.grant, nil, 0)
	}()
}
