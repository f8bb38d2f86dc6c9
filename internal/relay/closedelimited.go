package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	// connectTimeout limits the check whether an endpoint takes connections, through a sibling
	// and directly.
	connectTimeout = 500 * time.Millisecond
	// restartCheckTimeout limits the check whether an endpoint has restarted.
	restartCheckTimeout = 300 * time.Millisecond
	// minRestartTime is the least time from the end of an endpoint's process until its next
	// one takes connections.
	minRestartTime = 100 * time.Millisecond
	// settleTime is how long a new connection must stay open to show that a process runs.
	settleTime = 25 * time.Millisecond
)

// closeCheckIntervals are the pauses between checks whether the connections of an endpoint that
// takes no new ones have closed. They close within milliseconds of the end of its process, later
// where that shows on a busy machine, or through a sibling.
var closeCheckIntervals = []time.Duration{25 * time.Millisecond, 75 * time.Millisecond, 200 * time.Millisecond}

// Errors of an answer that ended with its connection and may be incomplete.
var (
	errEndpointEnded = fmt.Errorf("the endpoint ended with the connection: %w", io.ErrUnexpectedEOF)
	errEndUnknown    = fmt.Errorf("the connection ended, and it can't be found out whether the endpoint did: %w", io.ErrUnexpectedEOF)
)

// closeDelimitedBody is a body that ends with its connection. The kernel ends the connections
// of a process that crashes as if the process had closed them, so the end of the connection
// doesn't show that the body is complete if the endpoint has ended as well.
type closeDelimitedBody struct {
	Body
	lastReadAt time.Time // at first when the request was sent
	// pause is the longest time between two reads. If this process was suspended or its caller
	// was slow, the connection may have ended that long before its end is read.
	pause time.Duration
	end   func(pause time.Duration) answerEnd // what the end of the connection means
}

// Read implements Body.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	now := time.Now()
	b.pause = max(b.pause, now.Sub(b.lastReadAt))
	b.lastReadAt = now
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch b.end(b.pause) {
	case endCut:
		return n, errEndpointEnded
	case endUnknown:
		return n, errEndUnknown
	}
	return n, err
}

// answerEnd is what the end of an answer's connection means.
type answerEnd int

const (
	endComplete answerEnd = iota
	// endCut: the endpoint's process ended with the connection, so that the answer may be incomplete.
	endCut
	// endUnknown: whether it did can't be found out. The answer counts as cut, as one that ends
	// early must not look complete.
	endUnknown
)

// String returns the name used in logs and metrics.
func (e answerEnd) String() string { return [...]string{"complete", "cut", "unknown"}[e] }

// checkAnswerEnd finds out what the end of an answer's connection means, which may have been pause
// ago, counts it, and logs what isn't complete.
func (ex *activeExchange) checkAnswerEnd(ctx context.Context, e *dispatch.Endpoint, pause time.Duration) answerEnd {
	began := time.Now()
	end, why := ex.router.endOf(ctx, ex.service, e, pause)
	ex.router.metrics.answerEnds.WithLabelValues(end.String()).Inc()
	ex.progress.endedBy = why
	if end != endComplete {
		ex.router.options.Part.Info("An answer ended with its connection and may be incomplete.", "request", ex.exchange.ID, "end", end,
			"endpoint", e.ID, "born", e.Born, "service", ex.service, "why", why, "pause_ms", pause.Milliseconds(), "checked_ms", time.Since(began).Milliseconds())
	}
	return end
}

// endOf returns what the end of a connection to an endpoint, which may have been pause ago, means for
// its answer, and why. The process of the endpoint runs if it takes new connections and is no other
// one, or if older ones stay open. One that has left ended once its last answer was complete.
func (r *Router) endOf(ctx context.Context, service string, e *dispatch.Endpoint, pause time.Duration) (end answerEnd, why string) {
	began := time.Now()
	if r.hasLeft(e, r.options.View()) {
		return endComplete, whyLeft
	}
	if err := r.probe(ctx, e); err != nil {
		return r.endOfUnconnected(ctx, service, e, err)
	}
	switch {
	case pause+time.Since(began) < minRestartTime:
		return endComplete, "the endpoint runs"
	case r.isReplaced(service, e):
		return endCut, "the endpoint's next process is listed"
	case r.isRestarted(ctx, e):
		return endCut, "the endpoint has restarted"
	}
	return endComplete, "the endpoint runs"
}

const whyLeft = "the endpoint has left"

// endOfUnconnected is endOf for an endpoint that takes no connection.
func (r *Router) endOfUnconnected(ctx context.Context, service string, e *dispatch.Endpoint, probeErr error) (end answerEnd, why string) {
	now := time.Now()
	switch {
	case !r.awaitClosed(e, now):
		return endComplete, "other connections to the endpoint stay open"
	case r.isLeaving(service, e) && r.awaitDeparture(ctx, e, now):
		return endComplete, whyLeft
	case reachability.LossOfDial(probeErr) == reachability.Refused:
		return endCut, "the endpoint refuses connections"
	}
	return endUnknown, "no answer from the endpoint's machine: " + probeErr.Error()
}

// awaitDeparture reports whether an endpoint that leaves had left by a time: it says so before its
// process ends. It waits until the view shows that, or is confirmed for that time. The confirmation
// comes a moment before the changes that it covers.
func (r *Router) awaitDeparture(ctx context.Context, e *dispatch.Endpoint, at time.Time) bool {
	for isLast := false; ; {
		if r.hasLeft(e, r.options.View()) {
			return true
		}
		if isLast || !sleep.For(ctx, viewPollInterval) {
			return false
		}
		isLast = r.isConfirmed(r.options.View(), at) || time.Since(at) > maxViewWait
	}
}

// errClosedAtOnce is why a connection that was opened shows no process.
var errClosedAtOnce = fmt.Errorf("a new connection was closed at once: %w", syscall.ECONNRESET)

// probe is Endpoints.Probe within connectTimeout, with a connection that stays open for a moment.
// While a process ends, its listener may take one a little longer than its connections are open.
func (r *Router) probe(ctx context.Context, e *dispatch.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := r.options.Endpoints.Probe(ctx, e); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if !r.options.Endpoints.HasConnectionOpenedBefore(e, time.Now()) {
		return errClosedAtOnce
	}
	return nil
}

// awaitClosed reports whether all direct connections to an endpoint that were opened before a time
// close within a moment. The end of those through another entry doesn't show while that one is
// silent.
func (r *Router) awaitClosed(e *dispatch.Endpoint, before time.Time) bool {
	for _, pause := range closeCheckIntervals {
		time.Sleep(pause)
		if !r.options.Endpoints.HasDirectConnectionOpenedBefore(e, before) {
			return true
		}
	}
	return false
}

func (r *Router) isRestarted(ctx context.Context, e *dispatch.Endpoint) bool {
	_, isOther := r.checkIncarnation(ctx, e)
	return isOther
}

// checkIncarnation is Endpoints.CheckIncarnation within restartCheckTimeout.
func (r *Router) checkIncarnation(ctx context.Context, e *dispatch.Endpoint) (answered, isOther bool) {
	ctx, cancel := context.WithTimeout(ctx, restartCheckTimeout)
	defer cancel()
	return r.options.Endpoints.CheckIncarnation(ctx, e)
}

// isReplaced reports whether another incarnation is listed at the endpoint's address.
func (r *Router) isReplaced(service string, e *dispatch.Endpoint) bool {
	for _, listed := range r.options.View().Endpoints[service] {
		if listed.Address == e.Address && listed.Incarnation() != e.Incarnation() {
			return true
		}
	}
	return false
}

// isLeaving reports whether an endpoint has announced that it leaves, to this entry or to the
// control instances, which then no longer list it.
func (r *Router) isLeaving(service string, e *dispatch.Endpoint) bool {
	if r.options.Stats.Availability(time.Now(), e) == dispatch.Leaving {
		return true
	}
	view := r.options.View()
	return view.Draining[e.Incarnation()] || r.hasLeft(e, view)
}

// hasLeft reports whether an endpoint has left by what a view has: it is no longer listed, and didn't
// miss its heartbeats before. One that crashed stays listed for a while, perhaps as its next
// incarnation, and then counts as silent.
func (r *Router) hasLeft(e *dispatch.Endpoint, view *View) bool {
	for _, listed := range view.Endpoints[e.Service] {
		if listed.ID == e.ID || listed.Address == e.Address {
			return false
		}
	}
	return !view.Silent[e.Incarnation()] && !view.Draining[e.Incarnation()]
}
