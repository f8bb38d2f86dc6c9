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

// QuotaClient enforces the teams' quotas across all entries.
type QuotaClient interface {
	// Take takes a request's cost from a team's quota. The error is a
	// *quota.ExhaustedError or quota.ErrNoQuotaServer.
	Take(ctx context.Context, team string, limit quota.Limit, cost float64) (quota.Grant, error)
	// Return returns the cost of a request that did not run.
	Return(ctx context.Context, g quota.Grant) error
}

// Constants of quotas.
const (
	// maxControlSilence is the time without contact to the control instances after which
	// a request no longer waits for them: this entry is cut off, and another one isn't.
	maxControlSilence = 1500 * time.Millisecond
	// quotaRetryShare is the share of a target within which a caller whose team has spent its
	// quota is to return; the rest is for the start of the answer.
	quotaRetryShare = 0.65
	// otherEntryRetryAfter is the RetryAfter of a request that other entries can serve at
	// once.
	otherEntryRetryAfter = 50 * time.Millisecond
)

// takeQuota takes the cost of the exchange from its team's quota; nil where there is no
// limit.
//
// Load pattern: one team sends many times its usual load through all entries, and fills the
// endpoints' memory and the prefill queues; the requests of every other team wait behind it
// and miss their targets. Requests beyond the team's quota are refused at once, with the
// time to return. Each request asks separately: a model request costs more than an entry's
// even share of a quota.
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
		var spentErr *quota.ExhaustedError
		if errors.As(err, &spentErr) {
			return nil, r.refuseOverQuota(x, route, team, cost, spentErr)
		}
		cutOff := r.confirmationAge(a.view) > maxControlSilence
		if cutOff || !mayWaitForControl(x, route) || !sleep.For(ctx, controlPollInterval) {
			r.options.Part.Warn("No keeper of quotas was asked.", "request", x.ID, "route", route.Name, "team", team.Name,
				"waited_ms", time.Since(x.Received).Milliseconds(), "cut_off", cutOff, "err", err)
			return nil, &Refusal{Verdict: VerdictNotRun, Reason: "the team's quota can't be asked for here", RetryAfter: otherEntryRetryAfter}
		}
	}
}

func (r *Router) refuseOverQuota(x *Exchange, route *routetable.Route, team *routetable.Team, cost float64, spent *quota.ExhaustedError) *Refusal {
	r.options.Part.Info("The quota is spent.", "request", x.ID, "route", route.Name, "team", team.Name,
		"cost", rounded(cost), "per_second", rounded(team.Quota.PerSecond), "burst", rounded(team.Quota.Burst), "again_ms", spent.RetryAfter.Milliseconds())
	return &Refusal{Verdict: VerdictOverQuota, Reason: "the team's quota is spent", RetryAfter: r.overQuotaRetryAfter(x, route, spent)}
}

func (r *Router) overQuotaRetryAfter(x *Exchange, route *routetable.Route, spent *quota.ExhaustedError) time.Duration {
	if r.options.Policy.Has(dispatch.QuotaRepeatInTarget) {
		return quotaRetryAfter(spent.RetryAfter, route.Target, r.options.Random())
	}
	return max(spent.RetryAfter, retryAfter(x.CallerTimeout, r.options.Random()))
}

// quotaRetryAfter returns when a caller whose team has spent its quota may return: when
// some quota may be left, and early enough for an answer within its target. point is
// uniform in [0, 1), so that callers don't return together.
//
// Load pattern: a team sends several times its quota for seconds. A caller that returns
// after its target spends quota on a late answer, which another request could have used
// for one in time.
func quotaRetryAfter(earliest, target time.Duration, point float64) time.Duration {
	latest := time.Duration(quotaRetryShare * float64(target))
	return earliest + time.Duration(point*float64(max(0, latest-earliest)))
}

// cost returns what the exchange costs in units of the quota.
func (x *Exchange) cost(q routetable.Quota) float64 {
	if x.Prompt == nil {
		return q.Cost(0, false)
	}
	return q.Cost(x.Prompt.Tokens+x.Prompt.MaxOutput, true)
}

// returnQuota returns the cost of an exchange that did not run, in the background.
func (r *Router) returnQuota(x *Exchange, taken *quota.Grant) {
	if taken == nil {
		return
	}
	r.releaseAsync(func(ctx context.Context) {
		if err := r.options.Quotas.Return(ctx, *taken); err != nil {
			r.options.Part.Debug("Could not return quota.", "request", x.ID, "team", taken.Team, "err", err)
		}
	})
}
