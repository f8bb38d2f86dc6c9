package relay

import "github.com/hyssopsail/hyssopsail/internal/dispatch"

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

// recordEventSource records that events of an endpoint are about to be forwarded.
func (ex *activeExchange) recordEventSource(from *dispatch.Endpoint) {
	switch {
	case ex.headSent && ex.software == from.Software:
		ex.router.metrics.resumedStreams.WithLabelValues(resumedByEntry, softwareSame).Inc()
	case ex.headSent:
		ex.router.metrics.resumedStreams.WithLabelValues(resumedByEntry, softwareOther).Inc()
	case ex.isResumption():
		ex.router.metrics.resumedStreams.WithLabelValues(resumedByCaller, softwareUnknown).Inc()
	}
	ex.software = from.Software
}
