package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// stopRunTimeout limits a call that ends a run. The run ends at once, and what it holds moves then.
const stopRunTimeout = 3 * time.Second

// isSilentLoss reports whether a connection ended here since its peer didn't answer any more. The
// peer doesn't hear of that end.
func isSilentLoss(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// recordAbandoned keeps the endpoint of a lost run that may go on there. Only model endpoints end a
// run when they are asked to.
func (ex *activeExchange) recordAbandoned(at *dispatch.Endpoint, err error) {
	if ex.engine != nil && isSilentLoss(err) {
		ex.abandoned = at
	}
}

// stopAbandoned has the endpoint of the attempt before end its run, beside the attempt that goes on
// at another one.
func (ex *activeExchange) stopAbandoned(goesOnAt *dispatch.Endpoint) {
	before := ex.abandoned
	if before == nil {
		return
	}
	ex.abandoned = nil
	ex.releaseAsync(func(context.Context) { ex.router.stopRun(before, ex.exchange.ID, goesOnAt) })
}

func (r *Router) stopRun(at *dispatch.Endpoint, exchangeID string, goesOnAt *dispatch.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), stopRunTimeout)
	defer cancel()
	began, result := time.Now(), "stopped"
	err := r.options.Endpoints.StopRun(ctx, at, exchangeID, goesOnAt)
	if err != nil {
		result = "failed"
	}
	r.metrics.abandonedRuns.WithLabelValues(result).Inc()
	r.options.Part.Info("Asked an endpoint to end a run that goes on elsewhere.", "request", exchangeID, "endpoint", at.ID, "born", at.Born,
		"goes_on_at", goesOnAt.ID, "result", result, "took_ms", time.Since(began).Milliseconds(), "err", err)
}
