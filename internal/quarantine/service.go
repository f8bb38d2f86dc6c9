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

// Service asks the guard instances of fingerprints on behalf of local requests, and is itself
// the guard of some fingerprints. It implements Guard and outcome.RunGuard, and is safe for
// concurrent use.
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

// runEnd is the end of a run that is to be reported to the guard instance.
type runEnd struct {
	fingerprint fleet.Fingerprint
	permitted   fleet.ZoneSet
	attempt     fleet.AttemptID
	completed   bool
	crashed     bool
}

// Limits of the queued reports. A report that finds the queue full is lost; its run then counts
// as active for Limits.RunTTL.
const (
	endQueue       = 8192
	endWorkers     = 8
	maxEndAttempts = 3
)

// NewService returns a Service. Ends of runs are only reported while Run is running.
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
	decision := s.begin(ctx, f, permitted, attempt)
	s.metrics.countVerdict(decision.Verdict)
	if decision.Verdict == pb.RunVerdict_RUN_VERDICT_QUARANTINED && s.options.Recorder != nil {
		s.options.Recorder.Record(timeline.Event{Kind: timeline.KindQuarantined, Attempt: attempt, Detail: f.String()})
	}
	return decision.Verdict, decision.RetryAfter
}

func (s *Service) begin(ctx context.Context, f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID) Decision {
	state := s.options.Source.State()
	// A quarantined request is refused without a call, so also on an entry that has
	// lost contact.
	suspect, suspected := unexpiredSuspect(state.Suspects, f, time.Now(), s.suspectTTL(state))
	if suspected && suspect.Quarantined {
		return Decision{Verdict: pb.RunVerdict_RUN_VERDICT_QUARANTINED}
	}
	guard, ok := guardOf(f, permitted, state)
	if !ok {
		return startDecision(suspected)
	}
	run := RunRequest{Fingerprint: f, Attempt: attempt, Owner: s.self}
	if guard == s.self {
		return s.addJitter(s.beginLocally(run))
	}
	decision, err := s.callBegin(ctx, guard, permitted, run)
	if err != nil {
		s.metrics.unreachable.Inc()
		s.options.Part.Debug("Guard instance did not answer.", "guard", guard, "err", err)
		// The shared state alone decides.
		return startDecision(suspected)
	}
	return s.addJitter(decision)
}

func (s *Service) suspectTTL(state *membership.State) time.Duration {
	if state.Tree != nil && state.Tree.Fleet.Timeouts.QuarantineLife > 0 {
		return state.Tree.Fleet.Timeouts.QuarantineLife
	}
	return s.options.Limits.SuspectTTL
}

func (s *Service) beginLocally(run RunRequest) Decision {
	state := s.options.Source.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register.SetSuspectTTL(s.suspectTTL(state))
	return s.register.Begin(time.Now(), run, sharedState(state))
}

func sharedState(state *membership.State) SharedState {
	return SharedState{Suspects: state.Suspects, Alive: state.View.Contains}
}

// addJitter lengthens a wait by a random part, so that waiting runs don't ask again at the
// same time.
func (s *Service) addJitter(d Decision) Decision {
	if d.RetryAfter <= 0 {
		return d
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.RetryAfter += time.Duration(s.random.Int64N(int64(d.RetryAfter)))
	return d
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

func (s *Service) endLocally(f fleet.Fingerprint, attempt fleet.AttemptID, completed, crashed bool) {
	state := s.options.Source.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register.End(time.Now(), f, attempt, completed, crashed, sharedState(state))
	s.metrics.tracked.Set(float64(s.register.Len()))
}

// BeginRun implements outcome.RunGuard.
func (s *Service) BeginRun(_ context.Context, q *pb.BeginRunRequest) (*pb.BeginRunReply, error) {
	f, ok := fleet.FingerprintFromBytes(q.GetFingerprint())
	if !ok || q.GetAttemptId() == "" || len(q.GetAttemptId()) > maxAttemptBytes || len(q.GetOwner().GetInstanceId()) > maxAttemptBytes {
		return nil, trace.BadParameter("run without a valid fingerprint and attempt")
	}
	decision := s.beginLocally(RunRequest{
		Fingerprint: f,
		Attempt:     fleet.AttemptID(q.GetAttemptId()),
		Owner:       fleet.OwnerFromProto(q.GetOwner()),
	})
	return &pb.BeginRunReply{Verdict: decision.Verdict, RetryAfterMs: uint64(decision.RetryAfter.Milliseconds())}, nil
}

// maxAttemptBytes limits the length of the IDs that a peer can make this process keep.
const maxAttemptBytes = 128

// EndRun implements outcome.RunGuard.
func (s *Service) EndRun(_ context.Context, q *pb.EndRunRequest) (*pb.EndRunReply, error) {
	f, ok := fleet.FingerprintFromBytes(q.GetFingerprint())
	if !ok {
		return nil, trace.BadParameter("fingerprint of %d bytes", len(q.GetFingerprint()))
	}
	s.endLocally(f, fleet.AttemptID(q.GetAttemptId()), q.GetCompleted(), q.GetEndpointCrashed())
	return &pb.EndRunReply{}, nil
}
