package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// attemptKind is what an attempt is for.
type attemptKind string

// Kinds of attempts, used as label values.
const (
	attemptFirst   attemptKind = "first"
	attemptRetry   attemptKind = "again"
	attemptPrefill attemptKind = "prefill"
)

// Reasons why no permit was granted, used as label values.
const (
	deniedLimitReached = "used-up"
	deniedNoServer     = "no-keeper"
)

// Constants of endpoint limits.
const (
	// permitTTL is how long a permit is valid, which has to cover the time in which another
	// endpoint prefills the prompt. Permits that were granted over some time may therefore be
	// used within a shorter one; the endpoints' tolerance covers that.
	permitTTL = 1500 * time.Millisecond
	// maxBlockedRetryAfter limits the RetryAfter of a request whose endpoints are all
	// blocked: other endpoints may register meanwhile.
	maxBlockedRetryAfter = 10 * time.Second
	// unblockWaitShare is the share of the time left to its target that a request waits
	// until an endpoint is unblocked; the rest is for its answer.
	unblockWaitShare = 0.5
	// unblockJitter keeps requests that wait for the same endpoint from arriving together
	// when it is unblocked.
	unblockJitter = 50 * time.Millisecond
)

func limitKey(e *dispatch.Endpoint) endpointlimit.Endpoint {
	return endpointlimit.Endpoint(e.Incarnation())
}

// receiveLimit processes what the answer to a request sent at sent says about its
// endpoint's limit.
func (ex *activeExchange) receiveLimit(e *dispatch.Endpoint, sent time.Time, signal endpointlimit.Signal) {
	limits := ex.router.options.Limits
	known, changed := limits.RecordSignal(time.Now(), sent, limitKey(e), signal)
	if changed || signal.Kind == endpointlimit.KindInvalid {
		ex.router.metrics.limitSignals.WithLabelValues(signal.Kind.String()).Inc()
	}
	if !changed {
		return
	}
	ex.router.options.Part.Info("Endpoint limit changed.", "endpoint", e.ID, "service", ex.service,
		"limited", known.Limited, "per_second", rounded(known.PerSecond), "request", ex.exchange.ID)
	if !known.Limited {
		ex.reportLimitEnd(e)
	}
}

// reportLimitEnd reports the end of an endpoint's limit to its limit servers in the
// background.
func (ex *activeExchange) reportLimitEnd(e *dispatch.Endpoint) {
	ex.releaseAsync(func(ctx context.Context) {
		if err := ex.router.options.Limits.ReportLimit(ctx, limitKey(e)); err != nil {
			ex.router.options.Part.Debug("Could not report the end of an endpoint limit.", "endpoint", e.ID, "err", err)
		}
	})
}

// acquirePermit reports whether the endpoint may be sent a request now, and takes a permit
// if the endpoint has a limit. Without a permit it is blocked until there may be one.
//
// It is called right before each attempt: an endpoint may have been blocked since it was
// chosen, while the request waited for memory or its prompt was prefilled.
func (ex *activeExchange) acquirePermit(ctx context.Context, e *dispatch.Endpoint) bool {
	limits, stats := ex.router.options.Limits, ex.router.options.Stats
	requestedAt := time.Now()
	if !stats.AllowedBySignals(requestedAt, e) {
		return false
	}
	if at, ok := ex.permits[e.Incarnation()]; ok && requestedAt.Sub(at) < permitTTL {
		return true
	}
	if stats.IsBlocked(requestedAt, e) {
		return false
	}
	if !ex.router.options.Policy.Has(dispatch.EnforceLimits) || !limits.Limit(limitKey(e)).Limited {
		return true
	}
	denied := limits.AcquirePermit(ctx, limitKey(e))
	if denied == nil {
		ex.permits[e.Incarnation()] = requestedAt
		return true
	}
	stats.Block(e, time.Now().Add(denied.RetryAfter))
	why := deniedLimitReached
	if denied.NoLimitServer {
		why = deniedNoServer
	}
	ex.router.metrics.limitDenied.WithLabelValues(why).Inc()
	ex.logDecision("No permit for the endpoint.", "endpoint", e.ID, "why", why, "again_ms", denied.RetryAfter.Milliseconds())
	return false
}

// consumePermit uses up the permit of an attempt, and logs it if the endpoint has a limit.
func (ex *activeExchange) consumePermit(e *dispatch.Endpoint, kind attemptKind) {
	delete(ex.permits, e.Incarnation())
	known := ex.router.options.Limits.Limit(limitKey(e))
	if !known.Limited {
		return
	}
	ex.router.metrics.limitedAttempts.WithLabelValues(string(kind)).Inc()
	ex.router.options.Part.Info("Sent to a limited endpoint.", "request", ex.exchange.ID, "endpoint", e.ID, "kind", kind,
		"per_second", rounded(known.PerSecond), "heard_ms", time.Since(known.AsOf).Milliseconds())
}

// nextAttemptKind returns the kind of the next attempt of the exchange itself.
func (ex *activeExchange) nextAttemptKind() attemptKind {
	if ex.attempts > 0 {
		return attemptRetry
	}
	return attemptFirst
}

// keepIfPermitted returns at if its endpoint may be sent a request. Otherwise it releases
// the reservation and returns nil. at may be nil.
func (ex *activeExchange) keepIfPermitted(ctx context.Context, at *placement) *placement {
	if at == nil || ex.acquirePermit(ctx, at.endpoint) {
		return at
	}
	ex.releaseReservation(at)
	return nil
}

// awaitUnblocked waits for an endpoint of a stage that is blocked for a short time, if the
// exchange was not sent yet and has the time. It returns false without one.
func (ex *activeExchange) awaitUnblocked(ctx context.Context, stage dispatch.Stage) bool {
	now := time.Now()
	unblocksAt := ex.router.options.Stats.NextUnblockTime(now, ex.router.selected(ex.filter(stage)))
	if ex.attempts > 0 || unblocksAt.IsZero() {
		return false
	}
	remaining := ex.route.Target - now.Sub(ex.exchange.Received)
	wait := unblocksAt.Sub(now) + time.Duration(ex.router.options.Random()*float64(unblockJitter))
	if wait > time.Duration(unblockWaitShare*float64(remaining)) {
		return false
	}
	return sleep.For(ctx, wait)
}

// blockedFor returns how long all endpoints that could take the exchange are blocked; 0 if
// one of them isn't.
func (ex *activeExchange) blockedFor() time.Duration {
	now := time.Now()
	if ex.hasUntriedEndpoint() {
		return 0
	}
	unblocksAt := ex.router.options.Stats.NextUnblockTime(now, ex.router.selected(ex.filter(ex.stage())))
	if unblocksAt.IsZero() {
		return 0
	}
	return min(unblocksAt.Sub(now), maxBlockedRetryAfter)
}
