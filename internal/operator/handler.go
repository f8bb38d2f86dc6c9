package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Bounds of the handler.
const (
	maxConcurrent = 64               // requests at once; more get 429
	callTimeout   = 15 * time.Second // one request, without its wait for a change in force
	// MaxWait is the longest wait for a change to be in force.
	MaxWait = time.Minute
)

// errNotCurrent refuses before anything is tried.
var errNotCurrent = errors.New("not current")

type handler struct {
	options Options
	secret  keyhash.Hash
}

// NewHandler makes the operators' HTTP handler.
func NewHandler(options Options) http.Handler {
	h := &handler{options: options, secret: keyhash.Of(options.Secret.Hex())}
	router := chi.NewRouter()
	router.Route("/v1", func(r chi.Router) {
		r.Use(middleware.Throttle(maxConcurrent))
		r.Post("/init", h.serve(h.init, callTimeout))
		r.Get("/status", h.serve(h.status, callTimeout))
		r.Get("/disk", h.serve(h.disk, callTimeout))
		r.Get("/settings", h.serve(h.getSettings, callTimeout))
		r.Post("/settings", h.serve(h.current(h.change), callTimeout+MaxWait))
		r.Post("/members", h.serve(h.current(h.changeMember), callTimeout))
		r.Post("/drain", h.serve(h.current(h.drain), callTimeout))
		if options.Endpoints != nil {
			r.Get("/endpoints", h.serve(h.endpoints, callTimeout))
		}
		if options.Order != nil {
			r.Post("/orders", h.serve(h.current(h.order), callTimeout))
		}
		if options.Timeline != nil {
			r.Get("/timeline", h.serve(h.timeline, callTimeout))
		}
	})
	mount(router, "/healthz", options.Health)
	mount(router, "/readyz", options.Ready)
	mount(router, "/metrics", options.Metrics)
	return router
}

func mount(router chi.Router, path string, h http.Handler) {
	if h != nil {
		router.Method(http.MethodGet, path, h)
	}
}

// action answers one request of a known sender; its error becomes a refusal.
type action func(w http.ResponseWriter, r *http.Request, who identity) error

// current refuses what changes the fleet while this instance can't confirm its
// settings. An operator whose key was withdrawn would otherwise still be taken
// here, by an instance that hasn't heard of it but still reaches the leader.
// The client goes on to another instance. Before bootstrap nothing can be
// confirmed, and the secret's own limits hold.
func (h *handler) current(do action) action {
	return func(w http.ResponseWriter, r *http.Request, who identity) error {
		if !who.bootstrap && h.options.Current != nil && !h.options.Current() {
			return trace.Wrap(errNotCurrent, "this instance can't confirm that its settings are in force; ask another")
		}
		return do(w, r, who)
	}
}

func (h *handler) serve(do action, limit time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := h.identify(r)
		if err != nil {
			h.refuse(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		if err := do(w, r.WithContext(ctx), who); err != nil {
			h.refuse(w, err)
		}
	}
}
