package relay

import (
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Who resumed a stream, used as label values.
const (
	resumedByEntry  = "entry"  // within one answer
	resumedByCaller = "caller" // by another exchange
)

// How the software version of the endpoint that continues a stream compares to that of the
// endpoint that began it, used as label values.
const (
	softwareSame    = "same"
	softwareOther   = "other"
	softwareUnknown = "unknown"
)

// recordEventSource records that events of an endpoint are about to be forwarded. A stream that
// it begins may go on only at endpoints of its software version: what two versions write does not
// fit together, and endpoints don't check it.
func (ex *activeExchange) recordEventSource(from *dispatch.Endpoint) {
	switch {
	case ex.headSent:
		ex.countResumed(resumedByEntry, from)
	case isResumption(ex.exchange, ex.route):
		ex.countResumed(resumedByCaller, from)
	}
	if !ex.software.IsSet() {
		ex.software = fleet.RequireSoftware(from.Software)
	}
	if ex.beganAt == nil {
		ex.beganAt = from
		ex.recordOrigin(from)
	}
}

func (ex *activeExchange) countResumed(by string, from *dispatch.Endpoint) {
	software := softwareSame
	switch {
	case !ex.software.IsSet():
		software = softwareUnknown
	case !ex.software.Allows(from.Software):
		software = softwareOther
	}
	ex.router.metrics.resumedStreams.WithLabelValues(by, software).Inc()
}
