package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// maxWatchedLosses limits the losses that are watched at a time; more are reported at once.
const maxWatchedLosses = 256

// linkCheckTimeout limits the check whether the link to an endpoint is lost. The request waits
// for it before it is sent again, so that a crash counts by then.
const linkCheckTimeout = 150 * time.Millisecond

// lossCheckIntervals are the pauses between checks for other open connections to an
// endpoint after a loss. If it crashed, they close within milliseconds, or within a second
// where its process takes that long to end.
var lossCheckIntervals = []time.Duration{25 * time.Millisecond, 100 * time.Millisecond, 275 * time.Millisecond, 600 * time.Millisecond}

// lostRun is a run whose connection to its endpoint broke.
type lostRun struct {
	service string
	request *suspect.Loss     // nil if it doesn't count against the request
	parts   *suspect.PartLoss // nil if its prompt has no parts
}

// counts reports whether the loss may count against anything.
func (l lostRun) counts() bool { return l.request != nil || l.parts != nil }

// watchLoss reports a lost run once no older connection to its endpoint is open any more. If one
// stays open, the endpoint has outlived the loss.
func (r *Router) watchLoss(at *dispatch.Endpoint, lost lostRun) {
	lostAt := time.Now()
	if !r.options.Endpoints.HasConnectionOpenedBefore(at, lostAt) {
		r.reportLoss(at, lost)
		return
	}
	select {
	case r.lossWatchers <- struct{}{}:
	default:
		r.recordRequestLoss(lost)
		return
	}
	go func() {
		defer func() { <-r.lossWatchers }()
		r.awaitConnectionsClosed(at, lostAt, lost)
	}()
}

func (r *Router) awaitConnectionsClosed(at *dispatch.Endpoint, lostAt time.Time, lost lostRun) {
	for _, pause := range lossCheckIntervals {
		time.Sleep(pause)
		if !r.options.Endpoints.HasConnectionOpenedBefore(at, lostAt) {
			r.reportLoss(at, lost)
			return
		}
	}
	r.metrics.outlivedLosses.Inc()
	if lost.request != nil {
		lost.request.EndpointSurvived = true
	}
	r.recordRequestLoss(lost)
}

// reportLoss reports a lost run after which no connection to the endpoint is open, unless the link
// to the endpoint is lost: that ends connections as well.
func (r *Router) reportLoss(at *dispatch.Endpoint, lost lostRun) {
	ctx, cancel := context.WithTimeout(context.Background(), linkCheckTimeout)
	defer cancel()
	if r.options.Endpoints.IsLinkLost(ctx, at) {
		r.metrics.linkLosses.Inc()
		return
	}
	r.recordRequestLoss(lost)
	if lost.parts != nil && r.hasCrashed(ctx, lost.service, at) {
		r.recordPartsLoss(at, lost)
	}
}

// recordPartsLoss counts the crash of an endpoint against the parts of a lost run, if it has any.
func (r *Router) recordPartsLoss(at *dispatch.Endpoint, lost lostRun) {
	if lost.parts == nil {
		return
	}
	lost.parts.Noticed = time.Now()
	r.options.Part.Info("A crash counts against the parts of a prompt.", "endpoint", at.ID, "born", at.Born, "service", lost.service,
		"parts", len(lost.parts.Parts), "sent_ms", time.Since(lost.parts.Sent).Milliseconds(), "lost_ms", time.Since(lost.parts.Ended).Milliseconds())
	r.options.Parts.RecordPartsLoss(*lost.parts)
}

func (r *Router) recordRequestLoss(lost lostRun) {
	if lost.request != nil {
		r.options.Crashes.RecordLoss(*lost.request)
	}
}

// hasCrashed reports whether an endpoint, to which no connection is open any more, has ended and
// did not leave. If connections are reset while it runs, the parts of all prompts that were there
// would be held responsible.
func (r *Router) hasCrashed(ctx context.Context, service string, e *dispatch.Endpoint) bool {
	if r.isLeaving(service, e) {
		return false
	}
	return reachability.LossOfDial(r.options.Endpoints.Probe(ctx, e)) == reachability.Refused || r.isReplaced(service, e)
}
