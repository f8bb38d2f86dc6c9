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

// CallersOptions are the parts of the callers' handler.
type CallersOptions struct {
	Router   *route.Router
	Source   membership.Source
	Recorder timeline.Recorder
	// TeamByKey finds the team of a caller's key, in constant time for each
	// key that the tree holds.
	TeamByKey  func(tree *settings.Tree, key string) (settings.Team, bool)
	Bounds     Bounds // zero fields take DefaultBounds
	Part       logging.Part
	Registerer prometheus.Registerer // nil: no metrics
}

// callers is the callers' handler.
type callers struct {
	opts    CallersOptions
	bounds  Bounds
	metrics *metrics
	start   *start
}

// NewCallers makes the handler of the callers' interface.
func NewCallers(o CallersOptions) http.Handler {
	c := &callers{opts: o, bounds: o.Bounds.withDefaults(), metrics: newMetrics(o.Registerer)}
	c.start = &start{source: o.Source, within: c.bounds.StartTime}
	mux := chi.NewRouter()
	mux.Use(c.recovered)
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

func (c *callers) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
