package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/reachability"
)

const (
	// connectTimeout limits the opening of a connection to an endpoint.
	connectTimeout = 150 * time.Millisecond
	// maxTunnels bounds the tunnels that an entry carries for others; each takes two
	// descriptors and some 100 kB at most.
	maxTunnels = 128
	// writeEndWait is how long a write may take to end once its connection has.
	writeEndWait = 50 * time.Millisecond
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Knows reports whether an address is that of an endpoint that this entry knows.
	Knows func(address string) bool
	// Reachability is that of endpoints from this entry.
	Reachability Reachability
	Dial         DialFunc
	Part         logging.Part
	Metrics      prometheus.Registerer // nil: no metrics
}

// Reachability tells whether this entry reaches endpoints itself.
type Reachability interface {
	// CutOff reports whether it reaches none.
	CutOff() bool
	// Unanswered reports whether new connections to an address get no answer.
	Unanswered(address string) bool
	// HeardSince reports whether any endpoint was heard since a time.
	HeardSince(since time.Time) bool
}

// Server connects siblings to endpoints. It implements pb.DRPCTunnelServer.
type Server struct {
	options ServerOptions
	metrics *serverMetrics

	mu       sync.Mutex // guards the fields below
	active   map[*session]bool
	draining bool
	idle     chan struct{} // closed when draining and no tunnel is active
}

var _ pb.DRPCTunnelServer = (*Server)(nil)

// NewServer returns a Server.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, metrics: newServerMetrics(o.Metrics), active: map[*session]bool{}, idle: make(chan struct{})}
}

// session is one tunnel at the sibling.
type session struct {
	stream pb.DRPCTunnel_ConnectStream
	conn   net.Conn
	sendMu sync.Mutex // held while a part is sent
	// writing holds one element while bytes are written to the endpoint.
	writing chan struct{}
	written atomic.Uint64 // bytes, to the endpoint
}

func (s *session) send(part *pb.TunnelPart) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return s.stream.Send(part)
}

// Connect implements pb.DRPCTunnelServer.
func (s *Server) Connect(stream pb.DRPCTunnel_ConnectStream) error {
	sendAtOnce(stream)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	t := &session{stream: stream, writing: make(chan struct{}, 1)}
	if !s.begin(t) {
		return s.refuse(t, pb.TunnelStatus_TUNNEL_STATUS_UNAVAILABLE)
	}
	defer s.end(t)
	if !s.options.Knows(first.Address) {
		s.options.Part.Warn("A sibling asked for an endpoint that isn't known here.", "address", first.Address)
		return s.refuse(t, pb.TunnelStatus_TUNNEL_STATUS_UNAVAILABLE)
	}
	if s.options.Reachability.Unanswered(first.Address) {
		return s.refuse(t, pb.TunnelStatus_TUNNEL_STATUS_NO_LINK)
	}
	began := time.Now()
	t.conn, err = s.dial(stream.Context(), first.Address)
	if err != nil {
		return s.refuse(t, s.statusOf(err, began))
	}
	defer func() { _ = t.conn.Close() }() // both directions have ended
	s.metrics.connected.WithLabelValues("connected").Inc()
	if err := t.send(&pb.TunnelPart{Status: pb.TunnelStatus_TUNNEL_STATUS_CONNECTED}); err != nil {
		return err
	}
	go t.forwardToEndpoint()
	return t.forwardToSibling()
}

// sendAtOnce makes a stream send each part when it is written, not with the next one.
func sendAtOnce(stream pb.DRPCTunnel_ConnectStream) {
	wrapped, ok := stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return
	}
	if raw, ok := wrapped.GetStream().(interface{ SetManualFlush(bool) }); ok {
		raw.SetManualFlush(false)
	}
}

func (s *Server) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return s.options.Dial(ctx, address)
}

// statusOf returns what a dial that failed tells. An endpoint that doesn't answer while this
// entry hears no other one tells nothing of the endpoint: this entry may be cut off as well.
func (s *Server) statusOf(err error, began time.Time) pb.TunnelStatus {
	loss := reachability.LossOfDial(err)
	switch {
	case loss == reachability.Refused:
		return pb.TunnelStatus_TUNNEL_STATUS_REFUSED
	case loss == reachability.Unanswered && s.options.Reachability.HeardSince(began):
		return pb.TunnelStatus_TUNNEL_STATUS_UNANSWERED
	}
	return pb.TunnelStatus_TUNNEL_STATUS_UNAVAILABLE
}

func (s *Server) refuse(t *session, status pb.TunnelStatus) error {
	s.metrics.connected.WithLabelValues(statusLabels[status]).Inc()
	return t.send(&pb.TunnelPart{Status: status})
}

// forwardToEndpoint passes the sibling's bytes on until either side ends.
func (t *session) forwardToEndpoint() {
	for {
		part, err := t.stream.Recv()
		if err != nil {
			_ = t.conn.Close() // ends forwardToSibling, and tells the endpoint to stop
			return
		}
		if err := t.write(part.Data); err != nil {
			return // forwardToSibling tells how much was written
		}
	}
}

// write writes bytes to the endpoint and counts them.
func (t *session) write(p []byte) error {
	t.writing <- struct{}{}
	defer func() { <-t.writing }()
	n, err := t.conn.Write(p)
	t.written.Add(uint64(n))
	return err
}

// writtenAtEnd returns how many bytes were written once the endpoint's connection has ended, which ends
// a write that is under way.
func (t *session) writtenAtEnd() uint64 {
	select {
	case t.writing <- struct{}{}:
		<-t.writing
	case <-time.After(writeEndWait):
	}
	return t.written.Load()
}

// forwardToSibling passes the endpoint's bytes on until its connection ends. A connection that
// was reset ends the tunnel with an error, unless forwardToEndpoint was told of the reset.
func (t *session) forwardToSibling() error {
	buffer := make([]byte, maxPartBytes)
	for {
		n, err := t.conn.Read(buffer)
		if n > 0 {
			if sendErr := t.send(&pb.TunnelPart{Data: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return t.send(&pb.TunnelPart{End: true, Written: t.writtenAtEnd()})
		}
		if err != nil {
			return err
		}
	}
}

// begin registers a tunnel; it returns false if there may be no more.
func (s *Server) begin(t *session) bool {
	cutOff := s.options.Reachability.CutOff()
	s.mu.Lock()
	defer s.mu.Unlock()
	if cutOff || s.draining || len(s.active) >= maxTunnels {
		return false
	}
	s.active[t] = true
	s.metrics.active.Set(float64(len(s.active)))
	return true
}

func (s *Server) end(t *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, t)
	s.metrics.active.Set(float64(len(s.active)))
	if s.draining && len(s.active) == 0 {
		close(s.idle)
	}
}

// Drain opens no more tunnels and tells siblings to let go of those that they have.
func (s *Server) Drain() {
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		return
	}
	s.draining = true
	if len(s.active) == 0 {
		close(s.idle)
	}
	list := make([]*session, 0, len(s.active))
	for t := range s.active {
		list = append(list, t)
	}
	s.mu.Unlock()
	for _, t := range list {
		go func() { _ = t.send(&pb.TunnelPart{Draining: true}) }() // the tunnel may have ended
	}
}

// Wait waits after Drain until all tunnels have ended, or ctx has.
func (s *Server) Wait(ctx context.Context) {
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
}
