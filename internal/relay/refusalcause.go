package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// refusalCause is why an exchange was not sent to any endpoint, used as label value.
type refusalCause string

// The causes.
const (
	causeNone          refusalCause = "none" // it was sent, or ended before
	causeQuarantined   refusalCause = "quarantined"
	causeBudget        refusalCause = "retry-budget"
	causeOverload      refusalCause = "overload"
	causeNoVersion     refusalCause = "no-version"
	causeBlocked       refusalCause = "blocked"
	causeNoTime        refusalCause = "no-time"
	causeNoRoom        refusalCause = "no-room"
	causeNoEndpoint    refusalCause = "no-endpoint"
	causeUnknownOrigin refusalCause = "unknown-origin"
	causeMovedRoute    refusalCause = "moved-route"
)

// unsentReason returns why there is no endpoint to send to, and records the cause.
func (ex *activeExchange) unsentReason() string {
	cause, reason := ex.unsent()
	ex.refusalCause = cause
	return reason
}

func (ex *activeExchange) unsent() (cause refusalCause, reason string) {
	switch {
	case ex.crashes.quarantinedFor > 0:
		return causeQuarantined, "it crashes the endpoints that run it"
	case ex.parts.refusal.Refused:
		return causeQuarantined, "a part of its prompt crashes the endpoints that run it"
	case !ex.budgetAccount.MaySend(time.Now()):
		return causeBudget, "the fleet may not send it again"
	case ex.overloaded:
		return causeOverload, "its endpoints are too loaded to answer in time"
	case ex.lacksSoftware():
		return causeNoVersion, "no endpoint runs the software version that began its stream"
	case ex.blockedFor() > 0:
		return causeBlocked, "its endpoints take no more for now"
	case ex.waitEnd == dispatch.WaitLacksTime:
		return causeNoTime, "its answer can't end while its caller waits"
	case ex.waitEnd == dispatch.WaitIsTooLong:
		return causeNoRoom, "no endpoint has room for it in time"
	}
	return causeNoEndpoint, "no endpoint can take it"
}
