package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
)

// headerTimeout limits the time to read a request's header.
const headerTimeout = 5 * time.Second

// Handler serves engineapi, GET /audit and GET and POST /faults.
func (s *Standin) Handler() http.Handler {
	router := chi.NewRouter()
	router.Group(func(r chi.Router) {
		r.Use(s.holdWhileFrozen)
		r.Post("/v1/prefill", s.servePrefill)
		r.Post("/v1/kv/import", s.serveImport)
		r.Get("/v1/kv/{handle}", s.serveKV)
		r.Post("/v1/decode", s.serveDecode)
		r.Post("/v1/cancel", s.serveCancel)
		r.Get("/v1/held", s.serveHeld)
		r.Post("/v1/orders", s.serveOrder)
		r.Get("/v1/state", s.serveState)
		r.Get("/v1/cache", s.serveCache)
		r.HandleFunc("/call/*", s.serveCall)
	})
	router.Get("/audit", s.serveAudit)
	router.Get("/faults", s.serveFaults)
	router.Post("/faults", s.serveFaults)
	return router
}

// holdWhileFrozen delays requests while the endpoint is frozen.
func (s *Standin) holdWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitWhileFrozen(r.Context().Done())
		next.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then closes all connections and frees all memory; for
// a planned stop, call Leave first. Audit still works after Run has returned.
func (s *Standin) Run(ctx context.Context) error {
	listener, err := s.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	close(s.ready)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { s.runBatch(ctx) })
	if len(s.options.Entries) > 0 {
		parts.Go(func() { s.runAnnounce(ctx) })
		parts.Go(func() { s.runEvents(ctx) })
	}
	if listener != nil {
		err = s.serve(ctx, listener)
		stop()
	}
	parts.Wait()
	s.freeAll()
	return trace.Wrap(err)
}

func (s *Standin) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Standin) listen() (net.Listener, error) {
	if s.options.Listen == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == "" {
		s.address = listener.Addr().String()
	}
	s.options.Part.Info("listening", "address", s.address)
	return listener, nil
}

// Ready returns a channel that is closed once Address is known.
func (s *Standin) Ready() <-chan struct{} { return s.ready }

// Address returns the host:port at which others reach the endpoint.
func (s *Standin) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}
