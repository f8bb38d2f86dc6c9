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
)

// Server takes calls from other processes of the fleet.
type Server struct {
	// Mux is where services register (pb.DRPCRegister...) before Serve.
	Mux   *drpcmux.Mux
	tls   *tls.Config
	clock Clock
	part  logging.Part
	stats *Metrics // nil: none
}

// NewServer makes a server without services. A nil config is plain mode, as
// for NewPool. clock observes the stamp of each call; nil for none.
func NewServer(config *tls.Config, clock Clock, part logging.Part) *Server {
	return &Server{Mux: drpcmux.New(), tls: config, clock: clock, part: part}
}

// Measure makes the server count its calls. It is called before Serve.
func (s *Server) Measure(metrics *Metrics) { s.stats = metrics }

// Serve answers on listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	options := drpcserver.Options{
		Manager: serverOptions(),
		Log: func(err error) {
			s.part.Debug("Connection ended.", "err", err)
		},
	}
	handler := measuringHandler{next: observingHandler{next: s.Mux, clock: s.clock}, metrics: s.stats}
	server := drpcserver.NewWithOptions(handler, options)
	err := server.Serve(ctx, s.secured(countedListener{listener}))
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

func (s *Server) secured(listener net.Listener) net.Listener {
	if s.tls == nil {
		return listener
	}
	return tls.NewListener(listener, s.tls)
}

// serverOptions make an answer and its end one write, and so one TLS record:
// all calls between processes are unary, and the end of a call flushes. Two
// writes cost each call the 22 bytes of a TLS record and a system call more.
func serverOptions() drpcmanager.Options {
	options := managerOptions()
	options.Stream.ManualFlush = true
	return options
}
