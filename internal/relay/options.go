package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/quota"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// Limits of a Router.
const (
	// maxBufferedBytes is the largest answer that is buffered until it is complete. A
	// larger one is forwarded as it arrives.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the size of one read of an answer.
	readBufferBytes = 8 << 10
	// timeoutMargin is how long before the route's timeout an exchange ends, so
	// that its final answer reaches the caller by then.
	timeoutMargin = 20 * time.Millisecond
	// networkMargin is subtracted from the time left that is sent to an endpoint, for the
	// network round trip.
	networkMargin = 10 * time.Millisecond
)

// Options configure a Router.
type Options struct {
	View      func() *View
	Endpoints Endpoints
	Stats     *dispatch.EndpointStats
	Allocator Allocator   // nil: entries place requests by themselves
	Quotas    QuotaClient // nil: teams have none
	// QuotaTolerance is by how much teams may exceed their quotas.
	QuotaTolerance quota.Tolerance
	Budget         *retrybudget.Budget
	RetryPool      RetryPool    // nil: entries have their own parts of the budget alone
	Crashes        CrashTracker // nil: requests that crash endpoints are not tracked
	// Parts is nil where parts of prompts that crash endpoints are not tracked.
	Parts   suspect.PartFindings
	Origins StreamOrigins // nil: streams can't be resumed by their callers
	// Shutdown is that of the entry; nil: it never shuts down.
	Shutdown *Shutdown
	// Limits are those that endpoints name; nil: an endpoint that names one gets no requests.
	Limits *endpointlimit.Client
	// Reads bounds and records what is read from endpoints; nil for no bound on its memory.
	Reads   *readlimit.Guard
	Policy  dispatch.Policy
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
	Random  func() float64        // uniform in [0, 1), safe for concurrent use
	// OutdatedFor returns for how long a newer configuration than the one of View has been
	// known; 0 if there is none. It is nil if that is not known.
	OutdatedFor func() time.Duration
	// ApplyWithin is how long a confirmed configuration may take to be in force at
	// each entry; 0 for no limit.
	ApplyWithin time.Duration
	// RevokeWithin is how long a key may be accepted after the confirmation of the
	// configuration that revoked it, also by an entry that was cut off; 0 for no limit.
	RevokeWithin time.Duration
	// Uptime is the clock that Confirmation counts by; it keeps running while the machine
	// is suspended.
	Uptime func() time.Duration
}
