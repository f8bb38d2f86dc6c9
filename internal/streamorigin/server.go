package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// registrationTime is how long an endpoint that has started again under its ID usually takes to be
// listed as another process.
const registrationTime = 500 * time.Millisecond

// Server holds records at one control instance. It is safe for concurrent use.
type Server struct {
	epoch   uint64
	history SoftwareHistory
	metrics *serverMetrics
	journal Journal // nil for none

	mu    sync.Mutex // guards table
	table *table
}

var _ pb.DRPCStreamOriginsServer = (*Server)(nil)

// Journal keeps records beyond the process. It is safe for concurrent use.
type Journal interface {
	// Append keeps records in the background.
	Append(batches []*pb.StreamBatch)
}

// SetJournal sets where records are kept, before the Server is used.
func (s *Server) SetJournal(j Journal) { s.journal = j }

// Restore adds records of an earlier process of this instance.
func (s *Server) Restore(batches []*pb.StreamBatch) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, batch := range batches {
		for _, added := range streamsFromWire(batch) {
			s.table.restore(now, added.key, added.origin.Value(), added.endpoint, added.ttl)
		}
	}
}

// Live returns the records that have not expired.
func (s *Server) Live() []*pb.StreamBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return batchesToWire(s.table.live(time.Now()))
}

// NewServer returns a Server without records. epoch must differ from that of any other process,
// also of an earlier one of this instance; registerer may be nil.
func NewServer(epoch uint64, history SoftwareHistory, registerer prometheus.Registerer) *Server {
	return &Server{epoch: epoch, history: history, metrics: newServerMetrics(registerer), table: newTable()}
}

// RecordStreams implements pb.DRPCStreamOriginsServer.
func (s *Server) RecordStreams(_ context.Context, r *pb.RecordStreamsRequest) (*pb.RecordStreamsReply, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, batch := range r.Batches {
		for _, added := range streamsFromWire(batch) {
			if !s.table.put(now, added.key, added.origin.Value(), added.endpoint, added.ttl) {
				s.metrics.dropped.Inc()
			}
		}
	}
	s.metrics.records.Set(float64(len(s.table.records)))
	if s.journal != nil && len(r.Batches) > 0 {
		s.journal.Append(r.Batches)
	}
	return &pb.RecordStreamsReply{Epoch: s.epoch}, nil
}

// FindStream implements pb.DRPCStreamOriginsServer.
func (s *Server) FindStream(_ context.Context, r *pb.FindStreamRequest) (*pb.FindStreamReply, error) {
	if len(r.Key) != len(Key{}) {
		return nil, trace.BadParameter("a stream's key has %d bytes", len(r.Key))
	}
	known, found := s.get(Key(r.Key))
	reply := &pb.FindStreamReply{Current: s.history.InContact()}
	if !found {
		return reply, nil
	}
	origin := known.origin.Value()
	if known.ambiguous || s.history.MayHaveRunOther(known.endpoint, origin.Software, known.doubtfulAt(time.Now())) {
		reply.Result = pb.FindStreamResult_FIND_STREAM_RESULT_DOUBTFUL
		return reply, nil
	}
	if time.Since(known.recorded) < registrationTime && s.history.ReusesID(known.endpoint) {
		reply.Result = pb.FindStreamResult_FIND_STREAM_RESULT_EARLY
		return reply, nil
	}
	reply.Result = pb.FindStreamResult_FIND_STREAM_RESULT_FOUND
	reply.Service, reply.Software = origin.Service, origin.Software
	return reply, nil
}

func (s *Server) get(key Key) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.get(time.Now(), key)
}

// SoleSoftware implements pb.DRPCStreamOriginsServer.
func (s *Server) SoleSoftware(ctx context.Context, r *pb.SoleSoftwareRequest) (*pb.SoleSoftwareReply, error) {
	software, sole, err := s.history.SoleSoftware(ctx, r.Service, time.Duration(r.WithinMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &pb.SoleSoftwareReply{Sole: sole, Software: software}, nil
}
