package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Service asks the guard instances of fingerprints for local requests, and is
// itself the guard of some. It implements Guard and outcome.RunGuard.
//
// mu guards register and random and is not held during a call.
type Service struct {
	options Options
	self    fleet.Owner
	metrics *metrics
	ends    chan runEnd

	mu       sync.Mutex
	register *Register
	random   *rand.Rand
}

var _ Guard = (*Service)(nil)

// runEnd is a finished run on its way to its guard instance.
type runEnd struct {
	fingerprint fleet.Fingerprint
	permitted   fleet.ZoneSet
	attempt     fleet.AttemptID
	completed   bool
	crashed     bool
}

// The bounds of the reports that wait to be sent. A report that finds no room
// is lost; its run then counts as running for Limits.RunLife.
const (
	endQueue   = 8192
	endWorkers = 8
	endTries   = 3
)

// NewService makes the service. Run must run for ends to be sent.
func NewService(o Options) *Service {
	o = o.withDefaults()
	return &Service{
		options:  o,
		self:     o.Source.Self().Owner(),
		metrics:  newMetrics(o.Registerer),
		ends:     make(chan runEnd, endQueue),
		register: NewRegister(o.Limits),
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

// Begin implements Guard.
func (s *Service) Begin(ctx context.Context, f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID) (pb.RunVerdict, time.Duration) {
	answer := s.begin(ctx, f, permitted, attempt)
	s.metrics.begun(answer.Verdict)
	if answer.Verdict == pb.RunVerdict_RUN_VERDICT_QUARANTINED && s.options.Recorder != nil {
		s.options.Recorder.Record(timeline.Event{Kind: timeline.KindQuarantined, Attempt: attempt, Detail: f.String()})
	}
	return answer.Verdict, answer.RetryAfter
}

func (s *Service) begin(ctx context.Context, f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID) Answer {
	state := s.options.Source.State()
	// The refusal of a quarantined request needs no call: it is at once, also
	// on an entry that is cut off.
	suspect, suspected := liveSuspect(state.Suspects, f, time.Now(), s.suspectLife(state))
	if suspected && suspect.Quarantined {
		return Answer{Verdict: pb.RunVerdict_RUN_VERDICT_QUARANTINED}
	}
	guard, ok := guardOf(f, permitted, state)
	if !ok {
		return started(suspected)
	}
	run := Run{Fingerprint: f, Attempt: attempt, Owner: s.self}
	if guard == s.self {
		return s.spread(s.beginHere(run))
	}
	answer, err := s.ask(ctx, guard, permitted, run)
	if err != nil {
		s.metrics.unreachable.Inc()
		s.options.Part.Debug("Guard instance did not answer.", "guard", guard, "err", err)
		// The shared state alone decides.
		return started(suspected)
	}
	return s.spread(answer)
}

func (s *Service) suspectLife(state *membership.State) time.Duration {
	if state.Tree != nil && state.Tree.Fleet.Timeouts.QuarantineLife > 0 {
		return state.Tree.Fleet.Timeouts.QuarantineLife
	}
	return s.options.Limits.SuspectLife
}

func (s *Service) beginHere(run Run) Answer {
	state := s.options.Source.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register.SetSuspectLife(s.suspectLife(state))
	return s.register.Begin(time.Now(), run, sharedOf(state))
}

func sharedOf(state *membership.State) Shared {
	return Shared{Suspects: state.Suspects, Alive: state.View.Holds}
}

// spread varies a wait, so that waiting runs don't come back together.
func (s *Service) spread(a Answer) Answer {
	if a.RetryAfter <= 0 {
		return a
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.RetryAfter += time.Duration(s.random.Int64N(int64(a.RetryAfter)))
	return a
}

// End implements Guard. It doesn't wait for the guard instance.
func (s *Service) End(f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID, completed, endpointCrashed bool) {
	end := runEnd{fingerprint: f, permitted: permitted, attempt: attempt, completed: completed, crashed: endpointCrashed}
	select {
	case s.ends <- end:
	default:
		s.metrics.lostEnds.Inc()
	}
}

func (s *Service) endHere(f fleet.Fingerprint, attempt fleet.AttemptID, completed, crashed bool) {
	state := s.options.Source.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register.End(time.Now(), f, attempt, completed, crashed, sharedOf(state))
	s.metrics.tracked.Set(float64(s.register.Len()))
}

// BeginRun implements outcome.RunGuard.
func (s *Service) BeginRun(_ context.Context, q *pb.BeginRunRequest) (*pb.BeginRunReply, error) {
	f, ok := fleet.FingerprintFromBytes(q.GetFingerprint())
	if !ok || q.GetAttemptId() == "" || len(q.GetAttemptId()) > maxAttemptBytes || len(q.GetOwner().GetInstanceId()) > maxAttemptBytes {
		return nil, trace.BadParameter("run without a valid fingerprint and attempt")
	}
	answer := s.beginHere(Run{
		Fingerprint: f,
		Attempt:     fleet.AttemptID(q.GetAttemptId()),
		Owner:       fleet.OwnerFromProto(q.GetOwner()),
	})
	return &pb.BeginRunReply{Verdict: answer.Verdict, RetryAfterMs: uint64(answer.RetryAfter.Milliseconds())}, nil
}

// maxAttemptBytes bounds the names that a peer can have kept.
const maxAttemptBytes = 128

// EndRun implements outcome.RunGuard.
func (s *Service) EndRun(_ context.Context, q *pb.EndRunRequest) (*pb.EndRunReply, error) {
	f, ok := fleet.FingerprintFromBytes(q.GetFingerprint())
	if !ok {
		return nil, trace.BadParameter("fingerprint of %d bytes", len(q.GetFingerprint()))
	}
	s.endHere(f, fleet.AttemptID(q.GetAttemptId()), q.GetCompleted(), q.GetEndpointCrashed())
	return &pb.EndRunReply{}, nil
}
