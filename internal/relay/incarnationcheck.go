package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	// registrationTime is how long an endpoint that starts again under its ID usually takes to be
	// listed as another incarnation: it reports at its start.
	registrationTime = 500 * time.Millisecond
	// maxViewWait limits the wait for the view to show what an endpoint has reported: it is confirmed
	// twice a second, and callers leave when no event comes for two seconds.
	maxViewWait = 1200 * time.Millisecond
	// viewPollInterval is the pause between two looks.
	viewPollInterval = 20 * time.Millisecond
)

// hasRestarted reports whether an endpoint is listed as another incarnation, or with another
// software version, than when it was chosen.
func (ex *activeExchange) hasRestarted(e *dispatch.Endpoint) bool {
	listed := ex.router.options.View().find(e.ID)
	return listed != nil && (listed.Incarnation() != e.Incarnation() || listed.Software != e.Software)
}

// isOriginCertain reports whether the endpoint that began the stream ran the software that it was
// listed with.
//
// Guards against this failure: an endpoint starts again under its ID with other software, and
// serves a stream before it is listed anew. Where IDs are used again, an entry that continues the
// stream first waits until the view would show that.
func (ex *activeExchange) isOriginCertain(ctx context.Context) bool {
	if ex.beganAt == nil {
		return true
	}
	for ex.beganAt.Born != 0 && !ex.router.isConfirmed(ex.router.options.View(), ex.progress.firstAt.Add(registrationTime)) {
		if time.Since(ex.progress.writtenAt) > maxViewWait || !sleep.For(ctx, viewPollInterval) {
			return false
		}
	}
	return !ex.hasRestarted(ex.beganAt)
}

// isConfirmed reports whether a view was surely the latest at a time or later.
func (r *Router) isConfirmed(view *View, at time.Time) bool {
	if r.options.Uptime == nil || view.Confirmed == nil {
		return true
	}
	return r.options.Uptime()-view.Confirmed.At() <= time.Since(at)
}

// isRightProcess reports whether an endpoint may continue the stream of this exchange: where IDs
// are used again, it must say that it still is the incarnation that was chosen.
func (ex *activeExchange) isRightProcess(ctx context.Context, e *dispatch.Endpoint) bool {
	switch {
	case ex.hasRestarted(e):
		return false
	case !ex.software.IsSet() || e.Born == 0:
		return true
	}
	answered, isOther := ex.router.checkIncarnation(ctx, e)
	return answered && !isOther
}

// skip leaves out an endpoint whose process is not the one that was chosen.
func (ex *activeExchange) skip(e *dispatch.Endpoint) {
	ex.tried[e.Incarnation()] = true
	ex.logDecision("Endpoint may have restarted.", "endpoint", e.ID, "born", e.Born, "software", e.Software)
}
