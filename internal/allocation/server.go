package allocation

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The bounds of a Server.
const (
	// maxWait bounds how long a request waits for capacity.
	maxWait = 500 * time.Millisecond
	// maxWaiters bounds the waiting requests of a service.
	maxWaiters = 1024
	// cleanupInterval is the minimum interval between two cleanups of a service.
	cleanupInterval = 250 * time.Millisecond
)

// Server serves entries as the home of services.
type Server struct {
	fleet   Fleet
	metrics *metrics

	mu       sync.Mutex // guards services and their contents
	services map[string]*serviceQueue
}

var _ pb.DRPCAllotterServer = (*Server)(nil)

// NewServer returns a Server that registers its metrics with registerer, which may be nil.
func NewServer(fleet Fleet, registerer prometheus.Registerer) *Server {
	return &Server{fleet: fleet, metrics: newMetrics(registerer), services: map[string]*serviceQueue{}}
}

// Allot implements pb.DRPCAllotterServer.
func (s *Server) Allot(ctx context.Context, r *pb.AllotRequest) (*pb.AllotReply, error) {
	request := requestFromWire(r)
	placement, w := s.reserveOrQueue(r.Service, request)
	if w != nil {
		placement = s.await(ctx, r.Service, w, min(maxWait, durationOfMillis(r.WaitMs)))
	}
	s.metrics.count(placement, w)
	reply := &pb.AllotReply{Endpoint: placement.Endpoint, Reader: placement.PrefillEndpoint, BacklogMs: uint32(placement.PrefillBacklog.Milliseconds())}
	if placement.Endpoint == "" {
		free := s.freeCapacity(r.Service, request)
		reply.Among, reply.MostFree = uint32(free.Candidates), uint32(free.MaxFreeTokens)
	}
	return reply, nil
}

func (s *Server) freeCapacity(service string, request ReservationRequest) FreeCapacity {
	endpoints := s.fleet.ModelEndpoints(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queueOf(service).tracker.FreeCapacity(time.Now(), endpoints, request)
}

func requestFromWire(r *pb.AllotRequest) ReservationRequest {
	return ReservationRequest{
		Exchange: r.Exchange, Entry: r.Entry, Model: r.Model, Zone: r.Zone, PromptTokens: int(r.Prompt), OutputTokens: int(r.Output),
		CapacityTokens: int(r.Capacity), AnswerDuration: durationOfMillis(r.LengthMs), PrefillDuration: durationOfMillis(r.ReadingMs),
		MaxBacklog: durationOfMillis(r.LongestBacklogMs), AllowLocalPrefill: r.ReadsOwn, Excluded: r.Excluded, Software: r.Software,
		Stream: r.Fingerprint, Resumes: r.Resumes, Patience: durationOfMillis(r.PatienceMs),
	}
}

// reserveOrQueue returns a reservation, or a waiter in the queue, or neither if the queue
// is full.
func (s *Server) reserveOrQueue(service string, request ReservationRequest) (Placement, *waiter) {
	endpoints := s.fleet.ModelEndpoints(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queueOf(service)
	s.cleanUp(q, endpoints)
	if request.Resumes {
		q.tracker.ReleaseBroken(request)
	}
	if placement := q.tracker.Reserve(time.Now(), endpoints, request); placement.Endpoint != "" {
		return placement, nil
	}
	if q.line.len() >= maxWaiters {
		return Placement{}, nil
	}
	w := q.newWaiter(time.Now(), request)
	q.line.add(w)
	return Placement{}, w
}

func (s *Server) queueOf(service string) *serviceQueue {
	q := s.services[service]
	if q == nil {
		q = &serviceQueue{tracker: NewUsageTracker()}
		s.services[service] = q
	}
	return q
}

// cleanUp removes the usage of dead entries and removed endpoints, at most once per
// cleanupInterval.
func (s *Server) cleanUp(q *serviceQueue, endpoints []Endpoint) {
	now := time.Now()
	if now.Sub(q.cleanedAt) < cleanupInterval {
		return
	}
	q.cleanedAt = now
	q.tracker.DropEntries(now, s.fleet.HasEntry)
	if !isSameList(q.retained, endpoints) {
		q.tracker.RetainEndpoints(endpoints)
		q.retained = endpoints
	}
}

// isSameList reports whether two lists are the same memory. A Fleet returns a new list when
// its endpoints have changed.
func isSameList(a, b []Endpoint) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (s *Server) await(ctx context.Context, service string, w *waiter, limit time.Duration) Placement {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case placement := <-w.placement:
		return placement
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.cancelWait(ctx, service, w)
}

// cancelWait ends a wait. A reservation that was made at the last moment is returned, or
// released if the caller has disconnected.
func (s *Server) cancelWait(ctx context.Context, service string, w *waiter) Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queueOf(service)
	q.line.remove(w)
	select {
	case placement := <-w.placement:
		if ctx.Err() == nil {
			return placement
		}
		q.tracker.Release(time.Now(), placement.Endpoint, w.request.Exchange, w.request.Entry, OutcomeDone)
	default:
	}
	return Placement{}
}

// Settle implements pb.DRPCAllotterServer.
func (s *Server) Settle(_ context.Context, r *pb.SettleRequest) (*pb.SettleReply, error) {
	endpoints := s.fleet.ModelEndpoints(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queueOf(r.Service)
	now := time.Now()
	q.tracker.Release(now, r.Endpoint, r.Exchange, r.Entry, outcomeFromWire(r.Outcome))
	q.serveWaiters(now, endpoints)
	return &pb.SettleReply{}, nil
}

// Read implements pb.DRPCAllotterServer.
func (s *Server) Read(_ context.Context, r *pb.ReadRequest) (*pb.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueOf(r.Service).tracker.RecordPrefill(time.Now(), r.Reader, r.Entry, outcomeFromWire(r.Outcome), durationOfMillis(r.PromisedMs), durationOfMillis(r.TookMs))
	return &pb.ReadReply{}, nil
}

func durationOfMillis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func outcomeFromWire(o pb.AllotOutcome) Outcome {
	switch o {
	case pb.AllotOutcome_ALLOT_OUTCOME_FULL:
		return OutcomeFull
	case pb.AllotOutcome_ALLOT_OUTCOME_GONE:
		return OutcomeUnreachable
	case pb.AllotOutcome_ALLOT_OUTCOME_UNSPECIFIED:
	}
	return OutcomeDone
}
