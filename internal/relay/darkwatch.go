package relay

import (
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

const (
	// minDarkSilence is how long nothing must have come from an endpoint for a run there to be
	// watched.
	minDarkSilence = 500 * time.Millisecond
	// darkWatchTime is how long after a run its endpoint may be found silent. Endpoints count as
	// silent some 4 s after their last status report.
	darkWatchTime = 6 * time.Second
	// darkWatchInterval is the pause between two looks.
	darkWatchInterval = 250 * time.Millisecond
	// maxDarkWatches limits the runs that are watched at a time; more are not.
	maxDarkWatches = 256
)

// watchDarkness counts a run that ended without an answer as a crash of its endpoint's machine, if
// the endpoint's status reports stop as well: a machine that goes down closes no connection. started
// reports whether a part of the answer was forwarded.
//
// Only a run that arrived counts. What is sent to a machine that is down already, or over a lost
// link, isn't acknowledged; and an endpoint that this entry alone has lost goes on reporting its
// status.
func (ex *activeExchange) watchDarkness(at *dispatch.Endpoint, sent time.Time, started bool, a attemptResult) {
	r := ex.router
	if !a.hasArrived() || isConnectionLoss(a.err) || !ex.tracksCrashes() && !ex.tracksParts() ||
		r.options.Endpoints.EndpointHeardSince(at, time.Now().Add(-minDarkSilence)) {
		return
	}
	lost := ex.newLostRun(at, sent, started)
	if !lost.counts() {
		return
	}
	select {
	case r.darkWatches <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.darkWatches }()
		r.awaitDarkness(at, lost, ex.exchange.ID)
	}()
}

// hasArrived reports whether an attempt's request is known to have reached its endpoint's machine.
func (a attemptResult) hasArrived() bool {
	var failure *SendError
	return a.reply != nil || errors.As(a.err, &failure) && failure.Arrived
}

func (r *Router) awaitDarkness(at *dispatch.Endpoint, lost lostRun, exchangeID string) {
	for began := time.Now(); time.Since(began) < darkWatchTime; time.Sleep(darkWatchInterval) {
		if !r.isDark(lost.service, at) {
			continue
		}
		r.metrics.darkLosses.Inc()
		r.options.Part.Info("An endpoint fell silent with a run that got no answer.", "request", exchangeID, "endpoint", at.ID, "born", at.Born,
			"service", lost.service, "waited_ms", time.Since(began).Milliseconds())
		r.recordRequestLoss(lost)
		r.recordPartsLoss(at, lost)
		return
	}
}

// isDark reports whether an endpoint's status reports have stopped, and it had not said that it leaves.
func (r *Router) isDark(service string, e *dispatch.Endpoint) bool {
	view := r.options.View()
	return view.Silent[e.Incarnation()] || r.isReplaced(service, e) && !r.isLeaving(service, e)
}
