package entry

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Options configures the handler of the callers' API.
type Options struct {
	Router   *route.Router
	Source   membership.Source
	Recorder timeline.Recorder
	// TeamByKey finds the team of a caller's key. It compares with each key of the
	// tree in constant time.
	TeamByKey  func(tree *settings.Tree, key string) (settings.Team, bool)
	Bounds     Bounds // zero fields take DefaultBounds
	Part       logging.Part
	Registerer prometheus.Registerer // nil: no metrics
}

// callerHandler serves the callers' API.
type callerHandler struct {
	opts    Options
	bounds  Bounds
	metrics *metrics
	startup *startupWait
}

// NewHandler returns the handler of the callers' API.
func NewHandler(o Options) http.Handler {
	c := &callerHandler{opts: o, bounds: o.Bounds.withDefaults(), metrics: newMetrics(o.Registerer)}
	c.startup = &startupWait{source: o.Source, timeout: c.bounds.StartupTimeout}
	mux := chi.NewRouter()
	mux.Use(c.recoverPanics)
	mux.Get("/healthz", c.health)
	mux.Get("/readyz", c.ready)
	mux.NotFound(c.notFound)
	mux.MethodNotAllowed(c.wrongMethod)
	mux.Post("/v1/completions", c.forTeam(c.completion))
	mux.Post("/v1/chat/completions", c.forTeam(c.chat))
	mux.HandleFunc("/v1/services/{service}", c.forTeam(c.service))
	mux.HandleFunc("/v1/services/{service}/*", c.forTeam(c.service))
	mux.Get("/v1/addresses", c.forTeam(c.addresses))
	mux.Get("/v1/requests/{key}", c.forTeam(c.outcome))
	return mux
}

func (c *callerHandler) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
