package daemon

import (
	"net/http"
	"time"
)

// healthy answers /healthz: the process serves.
func healthy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readiness answers /readyz: 200 when the daemon holds its lease and its
// settings are confirmed, else 503.
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
