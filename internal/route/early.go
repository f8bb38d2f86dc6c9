package route

import "context"

// earlyTake asks for the decode slot while prefill runs, so that the KV
// cache's short life isn't spent on asking.
type earlyTake struct {
	cancel context.CancelFunc
	result <-chan takeResult // buffered: the goroutine never blocks on it; nil once taken
}

type takeResult struct {
	hold *hold
	fail *setback
}

func (a *attempt) startEarly(ctx context.Context, w want) *earlyTake {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan takeResult, 1)
	frozen := a.copyForTake()
	go func() {
		h, s := frozen.take(ctx, w)
		result <- takeResult{hold: h, fail: s}
	}()
	return &earlyTake{cancel: cancel, result: result}
}

// copyForTake gives the goroutine its own copy of what the run changes
// meanwhile.
func (a *attempt) copyForTake() *attempt {
	m := a.run
	run := &modelRun{
		router:      m.router,
		req:         m.req,
		class:       m.class,
		fingerprint: m.fingerprint,
		avoid:       m.avoid.with(),
		passed:      m.passed,
		deadline:    m.deadline,
		policies:    m.policies,
	}
	return &attempt{run: run, id: a.id, alone: a.alone, prefill: a.prefill}
}

// wait gives the grant, or the setback of ctx.
func (e *earlyTake) wait(ctx context.Context) (*hold, *setback) {
	select {
	case r := <-e.result:
		e.result = nil
		e.cancel()
		return r.hold, r.fail
	case <-ctx.Done():
		return nil, &setback{cause: fromContext(ctx)}
	}
}

// abandon gives back a grant that nobody waits for any more.
func (e *earlyTake) abandon(r *Router) {
	if e == nil || e.result == nil {
		return
	}
	e.cancel()
	result := e.result
	e.result = nil
	go func() {
		got := <-result
		r.free(got.hold, nil, 0)
	}()
}
