package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/config"
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 10 * time.Second

// newHTTPServer makes a server within the daemon's bounds. The time of an
// answer is bounded by its handler: a stream may last long.
func newHTTPServer(handler http.Handler, bounds config.Bounds, secure *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         secure,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       bounds.IdleTimeout,
		MaxHeaderBytes:    int(bounds.HeaderBytes),
	}
}

// serveHTTP serves until the server is shut down.
func serveHTTP(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// shutdownHTTP stops taking connections and waits for answers in flight until
// ctx ends; then it closes what is left.
func shutdownHTTP(ctx context.Context, server *http.Server) {
	if server == nil {
		return
	}
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // the bound has passed
	}
}
