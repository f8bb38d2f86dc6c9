package daemon

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/httpserver"
)

const (
	// headerTimeout limits how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// bodyTimeout limits how long it may take to send a body that its handler doesn't read;
	// handlers that do have their own limit.
	bodyTimeout = 30 * time.Second
)

// newHTTPServer returns a server with the daemon's limits. It sets no write timeout,
// as a stream may last long: each handler limits the duration of its response.
func newHTTPServer(handler http.Handler, bounds config.Bounds, tlsConfig *tls.Config) *httpserver.Server {
	return httpserver.NewServer(&http.Server{
		Handler:           httpserver.LimitBodyTime(handler, bodyTimeout),
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       bounds.IdleTimeout,
		MaxHeaderBytes:    int(bounds.HeaderBytes),
	})
}

// drainHTTP drains a server, for which ctx bounds the time. A nil server is ignored.
func drainHTTP(ctx context.Context, server *httpserver.Server) {
	if server != nil {
		_ = server.Drain(ctx) // it fails only by the end of ctx, which closes the rest
	}
}
