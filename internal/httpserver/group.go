// Package httpserver runs the HTTP servers of one process.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// Limits of each connection. They are wider than the limits of any configuration, since a
// connection may be open before the first configuration is known.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 64 << 10
	// callTimeout bounds the arrival of a call with its body, also one that its handler doesn't
	// read, where calls are short.
	callTimeout = 20 * time.Second
)

// shutdownTimeout is how long a planned stop waits for calls in flight; they take less
// than a second.
const shutdownTimeout = time.Second

// Group is the servers of one process. It is safe for concurrent use.
type Group struct {
	workers *errgroup.Group
	heads   *readlimit.Guard // nil for no bound on their memory

	mu      sync.Mutex // guards the fields below
	stopped bool
	servers []*Server
}

// NewGroup returns an empty Group. Its servers run as goroutines of workers, which ends with the
// error of the first one that fails.
func NewGroup(workers *errgroup.Group) *Group { return &Group{workers: workers} }

// SetHeads bounds the memory of the heads of all requests that are incomplete. It must be called
// before the first server starts.
func (g *Group) SetHeads(heads *readlimit.Guard) { g.heads = heads }

// Serve starts a server at an address, whose handler bounds the time of a call. It returns nil if
// the address is empty.
func (g *Group) Serve(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	return g.serve(ctx, address, handler, 0)
}

func (g *Group) serve(ctx context.Context, address string, handler http.Handler, readTimeout time.Duration) (*Server, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := NewServer(&http.Server{
		Handler: endHeads(handler), ConnContext: withHeadConn, ConnState: beginHead, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	})
	g.workers.Go(func() error { return server.Serve(headListener{listener, g.heads}) })
	return server, nil
}

// ServeUntilStop is like Serve for a server that Stop shuts down. After Stop it does nothing.
func (g *Group) ServeUntilStop(ctx context.Context, address string, handler http.Handler) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	server, err := g.serve(ctx, address, handler, callTimeout)
	if server != nil {
		g.servers = append(g.servers, server)
	}
	return err
}

// Stop drains the servers of ServeUntilStop, which takes at most a
// second. The error tells that some were cut off.
func (g *Group) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	errs := make([]error, len(g.servers))
	var draining sync.WaitGroup
	for n, server := range g.servers {
		draining.Go(func() { errs[n] = server.Drain(ctx) })
	}
	draining.Wait()
	return trace.NewAggregate(errs...)
}
