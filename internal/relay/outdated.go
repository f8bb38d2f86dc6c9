package relay

import "time"

// outdatedShare is the share of Options.ApplyWithin for which an entry keeps serving with a
// configuration that it knows to be replaced. The rest is for the time that passed before
// it learned of the newer one, and for requests that are on their way to an endpoint.
const outdatedShare = 0.8

// refuseOutdated refuses an exchange if the entry's configuration should no longer be in
// force; it returns nil otherwise.
//
// Guards against this failure: the entry knows of a newer configuration and doesn't receive
// it, for instance over a link with almost no bandwidth. Requests would go where they are
// no longer allowed to go. They are refused at once as not run: another entry has the newer
// configuration.
func (r *Router) refuseOutdated() *Refusal {
	limit := time.Duration(outdatedShare * float64(r.options.ApplyWithin))
	if limit == 0 || r.outdatedFor() < limit {
		return nil
	}
	return &Refusal{Verdict: VerdictNotRun, Reason: "a newer configuration is not in force here in time", RetryAfter: defaultRetryAfter}
}

// refuseNoRoute refuses an exchange that no route matches. While a newer configuration is
// on its way it may have the route, so that this is not the caller's mistake.
func (r *Router) refuseNoRoute() *Refusal {
	if r.outdatedFor() > 0 {
		return &Refusal{Verdict: VerdictNotRun, Reason: "no route leads there, and a newer configuration is on its way", RetryAfter: defaultRetryAfter}
	}
	return &Refusal{Verdict: VerdictNoRoute, Reason: "no route leads there"}
}

func (r *Router) outdatedFor() time.Duration {
	if r.options.OutdatedFor == nil {
		return 0
	}
	return r.options.OutdatedFor()
}
