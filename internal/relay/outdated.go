package relay

import "time"

// behindShare is the part of Options.ApplyWithin for which an entry serves by a
// configuration that it knows to be replaced. The rest is for the time that passed
// before it was told, and for requests that are on their way to an endpoint.
const behindShare = 0.8

// refuseOutdated turns an exchange away that would be handled by a configuration
// which should not be in force any more; nil when it isn't so.
//
// Failure guarded: the newer configuration is known here and does not arrive, as
// over a link that carries next to nothing. Requests would go where they are no
// longer allowed to go. They are told at once that they have not run: another entry
// has the newer one.
func (r *Router) refuseOutdated() *Refusal {
	limit := time.Duration(behindShare * float64(r.options.ApplyWithin))
	if limit == 0 || r.behind() < limit {
		return nil
	}
	return &Refusal{Verdict: VerdictNotRun, Reason: "a newer configuration is not in force here in time", RetryAfter: comeAgain}
}

// noRoute refuses an exchange that no route leads on. While a newer configuration
// is on its way it may have the route: that is not the caller's mistake.
func (r *Router) noRoute() *Refusal {
	if r.behind() > 0 {
		return &Refusal{Verdict: VerdictNotRun, Reason: "no route leads there, and a newer configuration is on its way", RetryAfter: comeAgain}
	}
	return &Refusal{Verdict: VerdictNoRoute, Reason: "no route leads there"}
}

func (r *Router) behind() time.Duration {
	if r.options.Behind == nil {
		return 0
	}
	return r.options.Behind()
}
