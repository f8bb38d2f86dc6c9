package relay

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

// StreamOrigins knows where streams began, at any entry. It is safe for concurrent use.
type StreamOrigins interface {
	// Record records where a stream began, or that it was resumed there, for the time ttl.
	Record(key streamorigin.Key, origin streamorigin.Origin, endpoint string, ttl time.Duration)
	// Find returns where a stream began; ok is false if that is unknown or in doubt.
	Find(ctx context.Context, key streamorigin.Key) (origin streamorigin.Origin, ok bool)
	// SoleSoftware returns the version that all endpoints of a service have run for some time up
	// to now; ok is false if there were several or if that isn't known.
	SoleSoftware(ctx context.Context, service string, within time.Duration) (software string, ok bool)
}

// resumeWindowFactor limits, in multiples of the route's timeout, how long after its last first
// event a stream may be resumed: an answer lasts for one timeout at most, and its caller returns
// within what is left of its own.
const resumeWindowFactor = 2

func resumeWindow(route *routetable.Route) time.Duration { return resumeWindowFactor * route.Timeout }

// isResumption reports whether the caller of an exchange already has a part of a stream.
func isResumption(x *Exchange, route *routetable.Route) bool {
	return x.LastEventID != "" && route.Kind == routetable.KindStream
}

// target is the service and the software version that an exchange goes to.
type target struct {
	service  string
	software fleet.RequiredSoftware
	// stream is the key of the stream whose record was found; zero if none was.
	stream streamorigin.Key
}

// chooseTarget returns where an exchange goes. A stream goes on at the service and the software
// version that began it; if these are not known for certain, it is refused.
func (r *Router) chooseTarget(ctx context.Context, x *Exchange, a admitted) (target, *Refusal) {
	if !isResumption(x, a.route) {
		return target{service: a.route.ChooseService(r.options.Random())}, nil
	}
	origin, stream, ok := r.findOrigin(ctx, x, a)
	switch {
	case !ok:
		return target{}, r.refuseResumption(x, a, causeUnknownOrigin, "it is not known which software version began the stream")
	case !a.route.HasBackend(origin.Service):
		return target{}, r.refuseResumption(x, a, causeMovedRoute, "the route no longer leads to the service that began the stream")
	}
	return target{service: origin.Service, software: fleet.RequireSoftware(origin.Software), stream: stream}, nil
}

// findOrigin returns where the stream began that an exchange resumes: by its record, whose key it
// returns too, or since nothing else can have begun it.
func (r *Router) findOrigin(ctx context.Context, x *Exchange, a admitted) (origin streamorigin.Origin, recorded streamorigin.Key, ok bool) {
	origins := r.options.Origins
	if origins == nil {
		return streamorigin.Origin{}, recorded, false
	}
	if x.Resumes != "" {
		key := streamKey(a.team, x.Host, x.Resumes)
		if origin, ok = origins.Find(ctx, key); ok {
			return origin, key, true
		}
	}
	service, ok := a.route.SoleBackend()
	if !ok {
		return streamorigin.Origin{}, recorded, false
	}
	software, ok := origins.SoleSoftware(ctx, service, resumeWindow(a.route))
	return streamorigin.Origin{Service: service, Software: software}, recorded, ok
}

func (r *Router) refuseResumption(x *Exchange, a admitted, cause refusalCause, reason string) *Refusal {
	refusal := &Refusal{Verdict: VerdictNotRun, Reason: reason, RetryAfter: retryAfter(x.CallerTimeout, r.options.Random())}
	r.options.Part.Info("Refused.", "request", x.ID, "verdict", refusal.Verdict, "reason", reason, "cause", cause, "route", a.route.Name,
		"team", teamName(a.team), "version", a.view.Table.Version, "resumes", x.Resumes, "resumed_after", x.LastEventID)
	r.metrics.ended.WithLabelValues(a.route.Kind.String(), refusal.Verdict.String()).Inc()
	r.metrics.refusedResumptions.WithLabelValues(string(cause)).Inc()
	return refusal
}

// allocatedStream returns the stream that an attempt begins or continues, 0 for one that is not
// recorded, and whether its caller has a part of it.
func (ex *activeExchange) allocatedStream() (stream uint64, resumes bool) {
	switch {
	case ex.stream != (streamorigin.Key{}):
		return ex.stream.Uint64(), true
	case !ex.route.Resumable || isResumption(ex.exchange, ex.route):
		return 0, false
	}
	return streamKey(ex.team, ex.exchange.Host, ex.exchange.ID).Uint64(), ex.headSent
}

func streamKey(team *routetable.Team, host, exchange string) streamorigin.Key {
	return streamorigin.KeyOf(teamName(team), host, exchange)
}

// recordOrigin records that an endpoint began or continues the stream of this exchange. The
// record of the exchange that the caller resumes is kept on.
func (ex *activeExchange) recordOrigin(from *dispatch.Endpoint) {
	origins := ex.router.options.Origins
	if origins == nil || !ex.route.Resumable || ex.hasRestarted(from) {
		return
	}
	origin := streamorigin.Origin{Service: ex.service, Software: from.Software}
	origins.Record(streamKey(ex.team, ex.exchange.Host, ex.exchange.ID), origin, from.ID, resumeWindow(ex.route))
	if isResumption(ex.exchange, ex.route) && ex.exchange.Resumes != "" {
		origins.Record(streamKey(ex.team, ex.exchange.Host, ex.exchange.Resumes), origin, from.ID, resumeWindow(ex.route))
	}
}

// lacksSoftware reports whether no endpoint has the software version that began the stream.
func (ex *activeExchange) lacksSoftware() bool {
	if !ex.software.IsSet() {
		return false
	}
	f := ex.filter(ex.stage())
	f.tried = nil
	return !slices.ContainsFunc(ex.router.options.View().Endpoints[ex.service], f.selects)
}
