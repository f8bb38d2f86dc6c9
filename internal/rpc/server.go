package rpc

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// Server serves calls from other processes of the fleet.
type Server struct {
	// Mux is where services register (pb.DRPCRegister...) before Serve.
	Mux     *drpcmux.Mux
	tls     *tls.Config
	clock   Clock
	part    logging.Part
	metrics *Metrics // nil: none
	reads   *readlimit.Guard
}

// NewServer returns a server without services. A nil config means no TLS, as for
// NewPool. clock observes the stamp of each call; it may be nil.
func NewServer(config *tls.Config, clock Clock, part logging.Part) *Server {
	return &Server{Mux: drpcmux.New(), tls: config, clock: clock, part: part}
}

// SetMetrics makes the server count its calls in metrics. It must be called before
// Serve.
func (s *Server) SetMetrics(metrics *Metrics) { s.metrics = metrics }

// SetReads bounds the memory of what all calls receive, which must be unary. It must be called
// before Serve.
func (s *Server) SetReads(reads *readlimit.Guard) { s.reads = reads }

// Serve serves connections of listener until ctx ends; it then returns nil.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	options := drpcserver.Options{
		Manager: serverOptions(),
		Log: func(err error) {
			s.part.Debug("Connection ended.", "err", err)
		},
	}
	handler := measuringHandler{next: observingHandler{next: s.Mux, clock: s.clock}, metrics: s.metrics, reads: s.reads}
	server := drpcserver.NewWithOptions(handler, options)
	err := server.Serve(ctx, s.withTLS(countedListener{listener, s.reads}))
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

func (s *Server) withTLS(listener net.Listener) net.Listener {
	if s.tls == nil {
		return listener
	}
	return tls.NewListener(listener, s.tls)
}

// serverOptions returns options that send a response and its end in one write, and
// so in one TLS record: all calls between processes are unary, and the end of a
// call flushes. A second write would cost each call a system call and the 22 bytes
// of a TLS record.
func serverOptions() drpcmanager.Options {
	options := managerOptions()
	options.Stream.ManualFlush = true
	return options
}
