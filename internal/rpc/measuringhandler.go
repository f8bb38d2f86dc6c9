package rpc

import (
	"crypto/tls"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// measuringHandler adds the bytes of each call to the metrics.
type measuringHandler struct {
	next    drpc.Handler
	metrics *Metrics
}

// HandleRPC implements drpc.Handler.
func (h measuringHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if counted := countedConnOf(stream); counted != nil {
		defer h.metrics.recordCall(sideServer, rpc, counted)
	}
	return h.next.HandleRPC(stream, rpc)
}

// countedConnOf returns the countedConn below the stream's TLS connection; nil if
// there is none.
func countedConnOf(stream drpc.Stream) *countedConn {
	transport, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return nil
	}
	secure, ok := transport.(*tls.Conn)
	if !ok {
		return nil
	}
	counted, _ := secure.NetConn().(*countedConn)
	return counted
}
