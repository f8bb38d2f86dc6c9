package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// mostFollowed bounds the losses that are followed at a time; more are reported at once.
const mostFollowed = 256

// lossLooks are the waits between looks for other connections to an endpoint after a loss.
// Where it crashed they end within milliseconds, or within a second where its process takes
// that long to end.
var lossLooks = []time.Duration{25 * time.Millisecond, 100 * time.Millisecond, 275 * time.Millisecond, 600 * time.Millisecond}

// followLoss reports a loss once no connection to its endpoint from before is open any more.
// Where one lives on, the endpoint has outlived it.
func (r *Router) followLoss(at *dispatch.Endpoint, loss suspect.Loss) {
	lost := time.Now()
	if !r.options.Endpoints.HasOpen(at, lost) {
		r.options.Crashes.Lost(loss)
		return
	}
	select {
	case r.followed <- struct{}{}:
	default:
		r.options.Crashes.Lost(loss)
		return
	}
	go func() {
		defer func() { <-r.followed }()
		r.awaitEnd(at, lost, loss)
	}()
}

func (r *Router) awaitEnd(at *dispatch.Endpoint, lost time.Time, loss suspect.Loss) {
	for _, pause := range lossLooks {
		time.Sleep(pause)
		if !r.options.Endpoints.HasOpen(at, lost) {
			r.options.Crashes.Lost(loss)
			return
		}
	}
	r.metrics.outlived.Inc()
	loss.Outlived = true
	r.options.Crashes.Lost(loss)
}
