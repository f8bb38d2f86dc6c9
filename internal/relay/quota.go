package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/quota"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// Quotas keeps teams within their quotas over all entries.
type Quotas interface {
	// Take takes a request's cost from a team's quota. The error is a
	// *quota.SpentError or quota.ErrNoKeeper.
	Take(ctx context.Context, team string, limit quota.Limit, cost float64) (quota.Grant, error)
	// Return gives back what a request took that did not run.
	Return(ctx context.Context, g quota.Grant) error
}

// The figures of quotas.
const (
	// keeperSilence is how long the control instances may have been silent before a
	// request no longer waits for them: this entry is cut off, and another one isn't.
	keeperSilence = 1500 * time.Millisecond
	// returnShare is the part of a target within which a caller is told to come again
	// whose team has spent its quota; the rest is for the start of the answer.
	returnShare = 0.65
	// elsewhere is when a caller may come again who can be served by other entries at
	// once.
	elsewhere = 50 * time.Millisecond
)

// takeQuota takes what the exchange costs from its team's quota; nil where there is no
// limit.
//
// Load pattern: one team sends many times its usual, over all entries, and fills the
// endpoints' memory and the queues before the readers; every other team's requests
// wait behind it and miss their targets. What is beyond the team's quota is told at
// once to come again. Each request is asked for by itself: a model request is larger
// than an entry's even part of a quota.
func (r *Router) takeQuota(ctx context.Context, x *Exchange, a admitted) (*quota.Grant, *Refusal) {
	team, route := a.team, a.route
	if team == nil || !team.Quota.Limited() || r.options.Quotas == nil {
		return nil, nil
	}
	limit := r.options.QuotaTolerance.Limit(a.view.Table.Version, team.Quota.PerSecond, team.Quota.Burst)
	if r.options.Policy.Has(dispatch.QuotaReserve) {
		limit = limit.WithReserve()
	}
	cost := x.cost(team.Quota)
	for {
		grant, err := r.options.Quotas.Take(ctx, team.Name, limit, cost)
		if err == nil {
			return &grant, nil
		}
		var spent *quota.SpentError
		if errors.As(err, &spent) {
			return nil, r.overQuota(x, route, team, cost, spent)
		}
		cutOff := r.confirmedFor(a.view) > keeperSilence
		if cutOff || !mayWait(x, route) || !sleep.For(ctx, controlPause) {
			r.options.Part.Warn("No keeper of quotas was asked.", "request", x.ID, "route", route.Name, "team", team.Name,
				"waited_ms", time.Since(x.Received).Milliseconds(), "cut_off", cutOff, "err", err)
			return nil, &Refusal{Verdict: VerdictNotRun, Reason: "the team's quota can't be asked for here", RetryAfter: elsewhere}
		}
	}
}

func (r *Router) overQuota(x *Exchange, route *routetable.Route, team *routetable.Team, cost float64, spent *quota.SpentError) *Refusal {
	r.options.Part.Info("The quota is spent.", "request", x.ID, "route", route.Name, "team", team.Name,
		"cost", rounded(cost), "per_second", rounded(team.Quota.PerSecond), "burst", rounded(team.Quota.Burst), "again_ms", spent.Again.Milliseconds())
	return &Refusal{Verdict: VerdictOverQuota, Reason: "the team's quota is spent", RetryAfter: r.returnAfter(x, route, spent)}
}

func (r *Router) returnAfter(x *Exchange, route *routetable.Route, spent *quota.SpentError) time.Duration {
	if r.options.Policy.Has(dispatch.QuotaReturn) {
		return returnToQuota(spent.Again, route.Target, r.options.Random())
	}
	return max(spent.Again, retryAfter(x.Patience, r.options.Random()))
}

// returnToQuota is when a caller may come again whose team has spent its quota: when
// something may be left, and early enough for an answer in its target. point is even in
// [0, 1), so that callers don't come back together.
//
// Load pattern: a team sends several times its quota for seconds. Who comes back after
// its target takes a part of the quota for an answer that is late, from one that would
// have been in time.
func returnToQuota(again, target time.Duration, point float64) time.Duration {
	inTime := time.Duration(returnShare * float64(target))
	return again + time.Duration(point*float64(max(0, inTime-again)))
}

// cost is what the exchange counts in a quota.
func (x *Exchange) cost(q routetable.Quota) float64 {
	if x.Prompt == nil {
		return q.Cost(0, false)
	}
	return q.Cost(x.Prompt.Tokens+x.Prompt.MaxOutput, true)
}

// returnQuota gives back what an exchange took that did not run, without waiting for
// it.
func (r *Router) returnQuota(x *Exchange, taken *quota.Grant) {
	if taken == nil {
		return
	}
	r.giveBack(func(ctx context.Context) {
		if err := r.options.Quotas.Return(ctx, *taken); err != nil {
			r.options.Part.Debug("A quota was not given back.", "request", x.ID, "team", taken.Team, "err", err)
		}
	})
}
