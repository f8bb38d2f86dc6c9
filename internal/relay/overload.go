package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// isRefusedForOverload reports whether a call to a plain service is refused before its first
// attempt, since even the best endpoint is too loaded to answer it in time.
func (ex *activeExchange) isRefusedForOverload(best dispatch.Choice) bool {
	options := ex.router.options
	if ex.attempts > 0 || !options.Policy.Has(dispatch.RefuseOverload) {
		return false
	}
	o := dispatch.Overload{
		Expected:  options.Stats.ExpectedAnswer(best),
		Remaining: ex.route.Target - time.Since(ex.readyAt),
	}
	ex.overloaded = options.Random() < o.RefusalShare()
	if ex.overloaded {
		ex.logDecision("Refused for overload.", "expected_ms", o.Expected.Milliseconds(), "remaining_ms", o.Remaining.Milliseconds())
	}
	return ex.overloaded
}
