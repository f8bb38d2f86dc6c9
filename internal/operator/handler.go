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

// Limits of the handler.
const (
	maxConcurrent = 64               // concurrent requests; more are refused with 429
	callTimeout   = 15 * time.Second // of one request, excluding the wait for a change to be in force
	// MaxWaitInForce is the longest time that a request may wait for a change to be in force.
	MaxWaitInForce = time.Minute
)

// errNotCurrent is returned before a request is executed, so the client may repeat it.
var errNotCurrent = errors.New("not current")

type handler struct {
	options    Options
	secretHash keyhash.Hash
}

// NewHandler returns the operators' HTTP handler.
func NewHandler(options Options) http.Handler {
	h := &handler{options: options, secretHash: keyhash.Of(options.Secret.Hex())}
	router := chi.NewRouter()
	router.Route("/v1", func(r chi.Router) {
		r.Use(middleware.Throttle(maxConcurrent))
		r.Post("/init", h.authenticated(h.init, callTimeout))
		r.Get("/status", h.authenticated(h.status, callTimeout))
		r.Get("/disk", h.authenticated(h.disk, callTimeout))
		r.Get("/settings", h.authenticated(h.getSettings, callTimeout))
		r.Post("/settings", h.authenticated(h.requireCurrent(h.change), callTimeout+MaxWaitInForce))
		r.Post("/members", h.authenticated(h.requireCurrent(h.changeMember), callTimeout))
		r.Post("/drain", h.authenticated(h.requireCurrent(h.drain), callTimeout))
		if options.Endpoints != nil {
			r.Get("/endpoints", h.authenticated(h.endpoints, callTimeout))
		}
		if options.Order != nil {
			r.Post("/orders", h.authenticated(h.requireCurrent(h.order), callTimeout))
		}
		if options.Timeline != nil {
			r.Get("/timeline", h.authenticated(h.timeline, callTimeout))
		}
	})
	addOptional(router, "/healthz", options.Health)
	addOptional(router, "/readyz", options.Ready)
	addOptional(router, "/metrics", options.Metrics)
	return router
}

// addOptional serves h at path unless h is nil.
func addOptional(router chi.Router, path string, h http.Handler) {
	if h != nil {
		router.Method(http.MethodGet, path, h)
	}
}

// action handles one request of an authenticated sender. An error that it returns is
// sent as an ErrorReply.
type action func(w http.ResponseWriter, r *http.Request, sender identity) error

// requireCurrent wraps an action that changes the fleet and refuses it while this
// instance can't confirm its settings. Otherwise an instance that hasn't received the
// withdrawal of an operator's key, but still reaches the leader, would accept that key.
// The client then tries another instance. Before bootstrap nothing can be confirmed; the
// restrictions on the fleet's secret apply instead.
func (h *handler) requireCurrent(do action) action {
	return func(w http.ResponseWriter, r *http.Request, sender identity) error {
		if !sender.bootstrap && h.options.Current != nil && !h.options.Current() {
			return trace.Wrap(errNotCurrent, "this instance can't confirm that its settings are in force; ask another")
		}
		return do(w, r, sender)
	}
}

// authenticated returns an HTTP handler that authenticates the sender and then runs do
// with a time limit.
func (h *handler) authenticated(do action, limit time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sender, err := h.authenticate(r)
		if err != nil {
			h.writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		if err := do(w, r.WithContext(ctx), sender); err != nil {
			h.writeError(w, err)
		}
	}
}
