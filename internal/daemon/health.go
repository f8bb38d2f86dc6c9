package daemon

import (
	"net/http"
	"time"
)

// serveHealth answers /healthz with 200 as long as the process serves requests.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readiness answers /readyz: 200 when the daemon holds its lease and its
// settings are confirmed to be current, else 503.
type readiness struct {
	base *base
}

// ServeHTTP implements http.Handler.
func (r readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.base.agent.Current(time.Now()) {
		http.Error(w, "not current", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
