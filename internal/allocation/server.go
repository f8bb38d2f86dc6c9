package allocation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The bounds of a Server.
const (
	// longestWait bounds how long a question is held for a place to come free.
	longestWait = 500 * time.Millisecond
	// mostWaiting bounds the questions of a service that are held.
	mostWaiting = 1024
	// tidyInterval is the least pause between two looks for what is gone.
	tidyInterval = 250 * time.Millisecond
)

// Server answers entries as the home of services.
type Server struct {
	fleet   Fleet
	metrics *metrics

	mu       sync.Mutex // guards services and all in them
	services map[string]*desk
}

var _ pb.DRPCAllotterServer = (*Server)(nil)

// NewServer makes a Server; to may be nil.
func NewServer(fleet Fleet, to prometheus.Registerer) *Server {
	return &Server{fleet: fleet, metrics: newMetrics(to), services: map[string]*desk{}}
}

// Allot implements pb.DRPCAllotterServer.
func (s *Server) Allot(ctx context.Context, r *pb.AllotRequest) (*pb.AllotReply, error) {
	ask := askOf(r)
	grant, w := s.allotOrWait(r.Service, ask)
	if w != nil {
		grant = s.await(ctx, r.Service, w, min(longestWait, millis(r.WaitMs)))
	}
	s.metrics.count(grant, w != nil)
	reply := &pb.AllotReply{Endpoint: grant.Endpoint, Reader: grant.Reader, BacklogMs: uint32(grant.Backlog.Milliseconds())}
	if grant.Endpoint == "" {
		room := s.room(r.Service, ask)
		reply.Among, reply.MostFree = uint32(room.Among), uint32(room.MostFree)
	}
	return reply, nil
}

func (s *Server) room(service string, ask Ask) Room {
	endpoints := s.fleet.ModelEndpoints(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.desk(service).account.Room(time.Now(), endpoints, ask)
}

func askOf(r *pb.AllotRequest) Ask {
	return Ask{
		Exchange: r.Exchange, Entry: r.Entry, Model: r.Model, Zone: r.Zone, Prompt: int(r.Prompt), Output: int(r.Output),
		Capacity: int(r.Capacity), Length: millis(r.LengthMs), Reading: millis(r.ReadingMs),
		LongestBacklog: millis(r.LongestBacklogMs), ReadsOwn: r.ReadsOwn, Excluded: r.Excluded,
	}
}

// allotOrWait gives a place, or a waiter in the queue; neither when the queue is
// full.
func (s *Server) allotOrWait(service string, ask Ask) (Grant, *waiter) {
	endpoints := s.fleet.ModelEndpoints(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.desk(service)
	s.tidy(d, endpoints)
	if grant := d.account.Allot(time.Now(), endpoints, ask); grant.Endpoint != "" {
		return grant, nil
	}
	if len(d.waiting) >= mostWaiting {
		return Grant{}, nil
	}
	w := &waiter{ask: ask, grant: make(chan Grant, 1)}
	d.waiting = append(d.waiting, w)
	return Grant{}, w
}

func (s *Server) desk(service string) *desk {
	d := s.services[service]
	if d == nil {
		d = &desk{account: NewAccount()}
		s.services[service] = d
	}
	return d
}

// tidy forgets, from time to time, what is gone.
func (s *Server) tidy(d *desk, endpoints []Endpoint) {
	now := time.Now()
	if now.Sub(d.tidied) < tidyInterval {
		return
	}
	d.tidied = now
	d.account.DropEntries(now, s.fleet.HasEntry)
	d.account.Keep(endpoints)
}

func (s *Server) await(ctx context.Context, service string, w *waiter, limit time.Duration) Grant {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.withdraw(ctx, service, w)
}

// withdraw ends a wait. A grant that came at the last moment is given back where
// its asker has left.
func (s *Server) withdraw(ctx context.Context, service string, w *waiter) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.desk(service)
	d.waiting = slices.DeleteFunc(d.waiting, func(other *waiter) bool { return other == w })
	select {
	case g := <-w.grant:
		if ctx.Err() == nil {
			return g
		}
		d.account.Settle(time.Now(), g.Endpoint, w.ask.Exchange, w.ask.Entry, OutcomeDone)
	default:
	}
	return Grant{}
}

// Settle implements pb.DRPCAllotterServer.
func (s *Server) Settle(_ context.Context, r *pb.SettleRequest) (*pb.SettleReply, error) {
	endpoints := s.fleet.ModelEndpoints(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.desk(r.Service)
	now := time.Now()
	d.account.Settle(now, r.Endpoint, r.Exchange, r.Entry, outcomeOf(r.Outcome))
	d.serveWaiting(now, endpoints)
	return &pb.SettleReply{}, nil
}

// Read implements pb.DRPCAllotterServer.
func (s *Server) Read(_ context.Context, r *pb.ReadRequest) (*pb.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desk(r.Service).account.Read(time.Now(), r.Reader, r.Entry, outcomeOf(r.Outcome), millis(r.PromisedMs), millis(r.TookMs))
	return &pb.ReadReply{}, nil
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func outcomeOf(o pb.AllotOutcome) Outcome {
	switch o {
	case pb.AllotOutcome_ALLOT_OUTCOME_FULL:
		return OutcomeFull
	case pb.AllotOutcome_ALLOT_OUTCOME_GONE:
		return OutcomeGone
	case pb.AllotOutcome_ALLOT_OUTCOME_UNSPECIFIED:
	}
	return OutcomeDone
}
