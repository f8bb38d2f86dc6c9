package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
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

// watchLoss reports a loss once no older connection to its endpoint is open any more. If one
// stays open, the endpoint has outlived the loss.
func (r *Router) watchLoss(at *dispatch.Endpoint, loss suspect.Loss) {
	lost := time.Now()
	if !r.options.Endpoints.HasConnectionOpenedBefore(at, lost) {
		r.reportLoss(at, loss)
		return
	}
	select {
	case r.lossWatchers <- struct{}{}:
	default:
		r.options.Crashes.RecordLoss(loss)
		return
	}
	go func() {
		defer func() { <-r.lossWatchers }()
		r.awaitConnectionsClosed(at, lost, loss)
	}()
}

func (r *Router) awaitConnectionsClosed(at *dispatch.Endpoint, lost time.Time, loss suspect.Loss) {
	for _, pause := range lossCheckIntervals {
		time.Sleep(pause)
		if !r.options.Endpoints.HasConnectionOpenedBefore(at, lost) {
			r.reportLoss(at, loss)
			return
		}
	}
	r.metrics.outlivedLosses.Inc()
	loss.EndpointSurvived = true
	r.options.Crashes.RecordLoss(loss)
}

// reportLoss reports a loss after which no connection to the endpoint is open, unless the link
// to the endpoint is lost: that ends connections as well.
func (r *Router) reportLoss(at *dispatch.Endpoint, loss suspect.Loss) {
	ctx, cancel := context.WithTimeout(context.Background(), linkCheckTimeout)
	defer cancel()
	if r.options.Endpoints.IsLinkLost(ctx, at) {
		r.metrics.linkLosses.Inc()
		return
	}
	r.options.Crashes.RecordLoss(loss)
}
