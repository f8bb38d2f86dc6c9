package rpc

import (
	"crypto/tls"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// measuringHandler adds the bytes of each call to the metrics, and bounds the memory that calls
// hold.
type measuringHandler struct {
	next    drpc.Handler
	metrics *Metrics
	reads   *readlimit.Guard // nil: no bound on their memory
}

// HandleRPC implements drpc.Handler.
func (h measuringHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if counted := countedConnOf(stream); counted != nil {
		defer h.metrics.recordCall(sideServer, rpc, counted)
	}
	if conn := plainConnOf(stream); conn != nil && h.reads != nil {
		defer conn.held.begin(h.reads, conn.peer) // the next call's
	}
	return h.next.HandleRPC(stream, rpc)
}

// plainConnOf returns the countedConn of the stream; nil if it is below TLS.
func plainConnOf(stream drpc.Stream) *countedConn {
	transport, _ := drpcctx.Transport(stream.Context())
	counted, _ := transport.(*countedConn)
	return counted
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
