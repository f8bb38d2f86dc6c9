package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/quota"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// The bounds of a Router.
const (
	// wholeBody bounds an answer that is held until it is whole, bytes. A
	// larger one is passed on as it comes.
	wholeBody = 256 << 10
	// copyBuffer is the size of one read of an answer, bytes.
	copyBuffer = 8 << 10
	// timeoutSlack is how long before the route's timeout an exchange ends, so
	// that its final answer reaches the caller by then.
	timeoutSlack = 20 * time.Millisecond
	// wayMargin is taken off the time that an endpoint is told it has: the
	// way to it and back takes as long.
	wayMargin = 10 * time.Millisecond
)

// Options tell a Router what it works with.
type Options struct {
	View      func() *View
	Endpoints Endpoints
	Book      *dispatch.Book
	Allotter  Allotter // nil: entries place requests by themselves
	Quotas    Quotas   // nil: teams have none
	// QuotaTolerance is by how much teams may use more than their quotas.
	QuotaTolerance quota.Tolerance
	Budget         *retrybudget.Budget
	Crashes        Crashes // nil: requests that crash endpoints are not known
	// Limits are those that endpoints name; nil: an endpoint that names one gets nothing.
	Limits  *endpointlimit.Client
	Policy  dispatch.Policy
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
	Random  func() float64        // even in [0, 1), safe for concurrent use
	// Behind tells for how long a newer configuration than the one of View has been
	// known, 0 while there is none; nil: nobody knows.
	Behind func() time.Duration
	// ApplyWithin is how long a confirmed configuration may take to be in force at
	// each entry; 0 for no limit.
	ApplyWithin time.Duration
	// RevokeWithin is how long a key may be accepted after the confirmation of the
	// configuration that took it away, by an entry that was cut off too; 0 for no
	// limit.
	RevokeWithin time.Duration
	// Uptime is the clock that Confirmation counts by; it goes on while the machine is
	// suspended.
	Uptime func() time.Duration
}
