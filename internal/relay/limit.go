package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// sendKind is what a send is for.
type sendKind string

// The kinds: label values.
const (
	sendFirst   sendKind = "first"
	sendAgain   sendKind = "again"
	sendPrefill sendKind = "prefill"
)

// Why there was no leave to send to an endpoint: label values.
const (
	deniedUsedUp   = "used-up"
	deniedNoKeeper = "no-keeper"
)

// The figures of limits.
const (
	// permitLife is how long leave to send holds, which passes while a prompt is being read
	// elsewhere. Leave that is given in one span of time arrives in a shorter one: the
	// endpoints' tolerance bounds it.
	permitLife = 1500 * time.Millisecond
	// longestBlocked bounds when a caller is told to come again whose endpoints are all
	// blocked: others may come meanwhile.
	longestBlocked = 10 * time.Second
	// unblockShare is the part of what is left to its target that a request waits until an
	// endpoint takes it; the rest is for its answer.
	unblockShare = 0.5
	// unblockSpread keeps requests that wait for the same endpoint from coming to it in the
	// moment when it is free.
	unblockSpread = 50 * time.Millisecond
)

func limitKey(e *dispatch.Endpoint) endpointlimit.Endpoint {
	return endpointlimit.Endpoint(e.Incarnation())
}

// hearLimit takes in what an answer to a request sent at sent says of its endpoint's
// limit.
func (l *life) hearLimit(e *dispatch.Endpoint, sent time.Time, w endpointlimit.Word) {
	limits := l.router.options.Limits
	known, changed := limits.Hear(time.Now(), sent, limitKey(e), w)
	if changed || w.Kind == endpointlimit.KindUnreadable {
		l.router.metrics.limitWords.WithLabelValues(w.Kind.String()).Inc()
	}
	if !changed {
		return
	}
	l.router.options.Part.Info("An endpoint's limit has changed.", "endpoint", e.ID, "service", l.service,
		"limited", known.Limited, "per_second", rounded(known.PerSecond), "request", l.x.ID)
	if !known.Limited {
		l.tellLimit(e)
	}
}

// tellLimit tells an endpoint's keepers that its limit has ended, without waiting for it.
func (l *life) tellLimit(e *dispatch.Endpoint) {
	l.giveBack(func(ctx context.Context) {
		if err := l.router.options.Limits.Tell(ctx, limitKey(e)); err != nil {
			l.router.options.Part.Debug("The end of a limit was not told.", "endpoint", e.ID, "err", err)
		}
	})
}

// isPermitted tells whether the endpoint may be sent something now, and takes leave for it
// where the endpoint names a limit. Without leave it is blocked until there may be some.
//
// It is asked right before each send: an endpoint may have been blocked since it was
// chosen, while the request waited for memory or had its prompt read.
func (l *life) isPermitted(ctx context.Context, e *dispatch.Endpoint) bool {
	limits, book := l.router.options.Limits, l.router.options.Book
	asked := time.Now()
	if !book.Takes(asked, e) {
		return false
	}
	if at, ok := l.permits[e.Incarnation()]; ok && asked.Sub(at) < permitLife {
		return true
	}
	if book.IsBlocked(asked, e) {
		return false
	}
	if !l.router.options.Policy.Has(dispatch.KeepLimits) || !limits.Limit(limitKey(e)).Limited {
		return true
	}
	denied := limits.Take(ctx, limitKey(e))
	if denied == nil {
		l.permits[e.Incarnation()] = asked
		return true
	}
	book.Block(e, time.Now().Add(denied.Again))
	why := deniedUsedUp
	if denied.NoKeeper {
		why = deniedNoKeeper
	}
	l.router.metrics.limitDenied.WithLabelValues(why).Inc()
	l.log("The endpoint takes no more.", "endpoint", e.ID, "why", why, "again_ms", denied.Again.Milliseconds())
	return false
}

// usePermit ends the use of what isPermitted took, and writes of the send.
func (l *life) usePermit(e *dispatch.Endpoint, kind sendKind) {
	delete(l.permits, e.Incarnation())
	known := l.router.options.Limits.Limit(limitKey(e))
	if !known.Limited {
		return
	}
	l.router.metrics.limitedSends.WithLabelValues(string(kind)).Inc()
	l.router.options.Part.Info("Sent to a limited endpoint.", "request", l.x.ID, "endpoint", e.ID, "kind", kind,
		"per_second", rounded(known.PerSecond), "heard_ms", time.Since(known.At).Milliseconds())
}

// kind is what the next send of the exchange itself is for.
func (l *life) kind() sendKind {
	if l.sends > 0 {
		return sendAgain
	}
	return sendFirst
}

// permittedPlace gives back a place whose endpoint may not be sent anything; at may be
// nil.
func (l *life) permittedPlace(ctx context.Context, at *place) *place {
	if at == nil || l.isPermitted(ctx, at.endpoint) {
		return at
	}
	l.dropHold(at)
	return nil
}

// awaitUnblocked waits for an endpoint of a stage that is blocked for a short while, where
// the exchange was not sent yet and has the time; false where there is none.
func (l *life) awaitUnblocked(ctx context.Context, stage dispatch.Stage) bool {
	now := time.Now()
	opens := l.router.options.Book.Unblocks(now, l.router.untried(l.service, stage, l.model(), l.tried))
	if l.sends > 0 || opens.IsZero() {
		return false
	}
	left := l.route.Target - now.Sub(l.x.Received)
	wait := opens.Sub(now) + time.Duration(l.router.options.Random()*float64(unblockSpread))
	if wait > time.Duration(unblockShare*float64(left)) {
		return false
	}
	return sleep.For(ctx, wait)
}

// blockedFor is how long all endpoints that could take the exchange are blocked; 0 where
// there is one that isn't.
func (l *life) blockedFor() time.Duration {
	now := time.Now()
	if l.haveAnother() {
		return 0
	}
	opens := l.router.options.Book.Unblocks(now, l.router.untried(l.service, l.stage(), l.model(), l.tried))
	if opens.IsZero() {
		return 0
	}
	return min(opens.Sub(now), longestBlocked)
}
