package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// Limits of releasing memory that engines hold for an exchange.
const (
	// releaseTimeout limits one call; engines answer it at once, and what they hold
	// expires within two seconds.
	releaseTimeout = time.Second
	// maxConcurrentReleases limits the calls in flight. Ten endpoints with a hundred
	// requests each that fail together need as many for a moment; beyond the limit,
	// memory is left to expire.
	maxConcurrentReleases = 64
)

// releaser frees memory at engines in the background.
//
// Guards against this failure: a caller leaves after its prompt was prefilled and before
// its request runs. The KV cache and the reserved memory stay until they expire, up to two
// seconds, and others are refused for lack of memory. The caller's final answer doesn't
// wait for the release.
type releaser struct {
	slots chan struct{}
}

func newReleaser() releaser { return releaser{slots: make(chan struct{}, maxConcurrentReleases)} }

// start runs free in the background, and reports whether there was a slot for it.
func (r releaser) start(free func(ctx context.Context)) bool {
	select {
	case r.slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		free(ctx)
	}()
	return true
}

// releasePlacement releases a placement: the home's reservation, if one is in use, and the
// memory reserved at the endpoint.
func (ex *activeExchange) releasePlacement(at *placement) {
	ex.settleActiveAllocation(dispatch.OutcomeCanceled)
	ex.releaseReservation(at)
}

func (ex *activeExchange) releaseReservation(at *placement) {
	if at.reservationID == "" {
		return
	}
	ex.releaseAsync(func(ctx context.Context) {
		ex.router.options.Endpoints.ReleaseReservation(ctx, at.endpoint, at.reservationID)
	})
}

// releaseUnusedPrefill frees a prefill result that no endpoint will use.
func (ex *activeExchange) releaseUnusedPrefill() {
	result := ex.unusedPrefill
	if result == nil {
		return
	}
	ex.unusedPrefill = nil
	ex.releaseAsync(func(ctx context.Context) {
		ex.router.options.Endpoints.ReleasePrefill(ctx, result.endpoint, result.handle)
	})
}

func (ex *activeExchange) releaseAsync(free func(ctx context.Context)) { ex.router.releaseAsync(free) }

// releaseAsync runs free in the background. It skips it while too many releases are in
// flight: what is held then expires.
func (r *Router) releaseAsync(free func(ctx context.Context)) {
	if !r.releaser.start(free) {
		r.metrics.leftToExpire.Inc()
	}
}
