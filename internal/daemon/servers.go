package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/entry"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// servers are the daemon's HTTP servers; those of roles that it doesn't have
// are nil.
type servers struct {
	listeners listeners
	callers   *http.Server
	endpoints *http.Server
	operators *http.Server
}

func newServers(b *base, e *entryRole, c *controlRole) (servers, error) {
	secure, err := operator.ServerTLS(b.file.RPCFiles())
	if err != nil {
		return servers{}, trace.Wrap(err)
	}
	s := servers{listeners: b.listeners}
	s.operators = newHTTPServer(newOperators(b, e, c), b.file.Bounds, secure)
	if e == nil {
		return s, nil
	}
	callers := entry.NewCallers(entry.CallersOptions{
		Router:     e.router,
		Source:     b.agent,
		Recorder:   b.ring,
		TeamByKey:  teamByKey,
		Bounds:     callerBounds(b.file.Bounds),
		Part:       newPart(b.logger, "entry"),
		Registerer: b.registry,
	})
	return s, trace.Wrap(s.addEntry(b, callers, e.home.Handler()))
}

func (s *servers) addEntry(b *base, callers, endpoints http.Handler) error {
	secureCallers, err := ownTLS(b.file.Listeners.Callers)
	if err != nil {
		return trace.Wrap(err)
	}
	secureEndpoints, err := ownTLS(b.file.Listeners.Endpoints)
	if err != nil {
		return trace.Wrap(err)
	}
	s.callers = newHTTPServer(callers, b.file.Bounds, secureCallers)
	s.endpoints = newHTTPServer(endpoints, b.file.Bounds, secureEndpoints)
	return nil
}

func teamByKey(tree *settings.Tree, key string) (settings.Team, bool) {
	if tree == nil {
		return settings.Team{}, false
	}
	return tree.TeamByKey(key)
}

func callerBounds(b config.Bounds) entry.Bounds {
	return entry.Bounds{BodyBytes: int64(b.BodyBytes)}
}

func newOperators(b *base, e *entryRole, c *controlRole) http.Handler {
	return operator.NewHandler(operator.Options{
		Control:   newOperations(b, c),
		Tree:      func() *settings.Tree { return b.agent.State().Tree },
		Current:   func() bool { return b.agent.Current(time.Now()) },
		Secret:    b.secret,
		Now:       time.Now,
		Log:       newPart(b.logger, "operator"),
		Endpoints: newEndpointLister(b, e).list,
		Order:     endpointOrders{lister: newEndpointLister(b, e), own: e}.order,
		Timeline:  newTimelineReader(b).read,
		Health:    http.HandlerFunc(healthy),
		Ready:     readiness{base: b},
		Metrics:   promhttp.HandlerFor(b.registry, promhttp.HandlerOpts{}),
	})
}

func (s servers) start(group *errgroup.Group) {
	group.Go(func() error { return serveHTTP(s.operators, s.listeners.operators) })
	if s.callers == nil {
		return
	}
	group.Go(func() error { return serveHTTP(s.callers, s.listeners.callers) })
	group.Go(func() error { return serveHTTP(s.endpoints, s.listeners.endpoints) })
}

// shutdown waits for answers in flight until ctx ends.
func (s servers) shutdown(ctx context.Context) {
	shutdownHTTP(ctx, s.callers)
	shutdownHTTP(ctx, s.endpoints)
	shutdownHTTP(ctx, s.operators)
}
