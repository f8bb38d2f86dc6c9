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
	"github.com/hyssopsail/hyssopsail/internal/httpserver"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// servers holds the daemon's HTTP servers. Those of roles that the daemon doesn't have
// are nil.
type servers struct {
	listeners listeners
	callers   *httpserver.Server
	endpoints *httpserver.Server
	operators *httpserver.Server
}

func newServers(b *base, e *entryRole, c *controlRole) (servers, error) {
	tlsConfig, err := operator.ServerTLS(b.config.RPCFiles())
	if err != nil {
		return servers{}, trace.Wrap(err)
	}
	s := servers{listeners: b.listeners}
	s.operators = newHTTPServer(newOperatorHandler(b, e, c), b.config.Bounds, tlsConfig)
	if e == nil {
		return s, nil
	}
	callers := entry.NewHandler(entry.Options{
		Router:     e.router,
		Source:     b.agent,
		Recorder:   b.timelineRing,
		TeamByKey:  teamByKey,
		Bounds:     callerBounds(b.config.Bounds),
		Part:       newPart(b.logger, "entry"),
		Registerer: b.registry,
	})
	return s, trace.Wrap(s.addEntry(b, callers, e.home.Handler()))
}

func (s *servers) addEntry(b *base, callers, endpoints http.Handler) error {
	callersTLS, err := listenerTLS(b.config.Listeners.Callers)
	if err != nil {
		return trace.Wrap(err)
	}
	endpointsTLS, err := listenerTLS(b.config.Listeners.Endpoints)
	if err != nil {
		return trace.Wrap(err)
	}
	s.callers = newHTTPServer(callers, b.config.Bounds, callersTLS)
	s.endpoints = newHTTPServer(endpoints, b.config.Bounds, endpointsTLS)
	return nil
}

func teamByKey(tree *settings.Tree, key string) (settings.Team, bool) {
	if tree == nil {
		return settings.Team{}, false
	}
	return tree.TeamByKey(key)
}

func callerBounds(b config.Bounds) entry.Bounds {
	return entry.Bounds{MaxBodyBytes: int64(b.BodyBytes)}
}

func newOperatorHandler(b *base, e *entryRole, c *controlRole) http.Handler {
	return operator.NewHandler(operator.Options{
		Control:   newOperations(b, c),
		Tree:      func() *settings.Tree { return b.agent.State().Tree },
		Current:   func() bool { return b.agent.Current(time.Now()) },
		Secret:    b.secret,
		Now:       time.Now,
		Log:       newPart(b.logger, "operator"),
		Endpoints: newEndpointLister(b, e).list,
		Order:     endpointOrders{lister: newEndpointLister(b, e), localEntry: e}.order,
		Timeline:  newTimelineReader(b).read,
		Health:    http.HandlerFunc(serveHealth),
		Ready:     readiness{base: b},
		Metrics:   promhttp.HandlerFor(b.registry, promhttp.HandlerOpts{}),
	})
}

func (s servers) start(group *errgroup.Group) {
	group.Go(func() error { return s.operators.Serve(s.listeners.operators) })
	if s.callers == nil {
		return
	}
	group.Go(func() error { return s.callers.Serve(s.listeners.callers) })
	group.Go(func() error { return s.endpoints.Serve(s.listeners.endpoints) })
}

// shutdown drains all servers, waiting for responses in flight until ctx ends.
func (s servers) shutdown(ctx context.Context) {
	drainHTTP(ctx, s.callers)
	drainHTTP(ctx, s.endpoints)
	drainHTTP(ctx, s.operators)
}
