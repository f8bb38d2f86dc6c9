package tunnel

import (
	"context"
	"net"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// ListenOptions configures Listen.
type ListenOptions struct {
	Address string // host:port; empty: no other entry is served
	Part    logging.Part
	Metrics *rpc.Metrics // nil: no metrics
}

// Listen serves other entries at an address of its own, without TLS, until ctx ends. If it
// can't listen, it returns nil: serving callers matters more.
func (s *Server) Listen(ctx context.Context, o ListenOptions) error {
	if o.Address == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", o.Address)
	if err != nil {
		o.Part.Warn("Could not listen for other entries.", "address", o.Address, "err", err)
		return nil
	}
	server := rpc.NewServer(nil, nil, o.Part)
	server.SetMetrics(o.Metrics)
	if err := pb.DRPCRegisterTunnel(server.Mux, s); err != nil {
		return trace.Wrap(err)
	}
	return server.Serve(ctx, listener)
}
