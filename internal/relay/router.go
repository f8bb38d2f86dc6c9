package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// errNoResponse is why a call ends whose endpoint has not answered in time.
var errNoResponse = errors.New("the endpoint has not answered in time")

// errDeadline is why an exchange's context ends at its deadline.
var errDeadline = errors.New("the deadline of the exchange has passed")

// Router serves exchanges.
type Router struct {
	options      Options
	metrics      *metrics
	releaser     releaser
	lossWatchers chan struct{} // holds one element for each loss that is watched
	darkWatches  chan struct{} // holds one element for each run whose endpoint may have gone dark
}

// New returns a Router.
func New(options Options) *Router {
	if options.Limits == nil {
		options.Limits = endpointlimit.NewDisconnectedClient()
	}
	return &Router{
		options: options, metrics: newMetrics(options.Metrics), releaser: newReleaser(),
		lossWatchers: make(chan struct{}, maxWatchedLosses), darkWatches: make(chan struct{}, maxDarkWatches),
	}
}

// Serve serves an exchange. It returns nil when the caller got an answer, whole or broken
// off, and a refusal when nothing was forwarded. ctx must end when the caller leaves.
func (r *Router) Serve(ctx context.Context, x *Exchange, caller Caller) *Refusal {
	ctx, unanswered, stop := r.options.Shutdown.watch(ctx)
	defer stop()
	a, refusal := r.admit(ctx, x)
	if refusal != nil {
		return r.metrics.countRefused(refusal)
	}
	taken, refusal := r.takeQuota(ctx, x, a)
	if refusal != nil {
		return r.metrics.countRefused(refusal)
	}
	refusal, ran := r.run(ctx, x, caller, a, unanswered)
	if !ran {
		r.returnQuota(x, taken)
	}
	return refusal
}

// run serves an admitted exchange. ran reports whether it may have run.
func (r *Router) run(ctx context.Context, x *Exchange, caller Caller, a admitted, unanswered *unanswered) (refusal *Refusal, ran bool) {
	route := a.route
	deadline := x.Received.Add(route.Timeout)
	if x.CallerTimeout > 0 && x.CallerTimeout < route.Timeout {
		deadline = x.Received.Add(x.CallerTimeout)
	}
	deadline = deadline.Add(-timeoutMargin)
	if !r.options.Shutdown.accepts(x.Received, deadline) {
		r.options.Part.Info("Refused by the shutdown.", "request", x.ID, "route", route.Name, "may_last_ms", deadline.Sub(x.Received).Milliseconds())
		return &Refusal{Verdict: VerdictNotRun, Reason: errShutdown.Error(), RetryAfter: shutdownRetryAfter}, false
	}
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, errDeadline)
	defer cancel()
	to, refusal := r.chooseTarget(ctx, x, a)
	if refusal != nil {
		return refusal, false
	}
	active := &activeExchange{
		router: r, exchange: x, caller: caller, unanswered: unanswered, route: route, team: a.team, version: a.view.Table.Version,
		service: to.service, software: to.software, stream: to.stream, engine: engineOf(a.view.Table, to.service), deadline: deadline, readyAt: time.Now(), refusalCause: causeNone,
		budgetAccount: r.options.Budget.OpenAccount(time.Now(), to.service),
	}
	r.metrics.running.Inc()
	defer r.metrics.running.Dec()
	refusal = active.run(ctx)
	active.logResult(ctx, refusal)
	r.metrics.observeEnd(active, refusal)
	return refusal, active.mayHaveRun
}

func engineOf(table *routetable.Table, service string) *routetable.Engine {
	if s := table.Service(service); s != nil {
		return s.Engine
	}
	return nil
}
