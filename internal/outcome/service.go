package outcome

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Service is a process's part in the ledger: it claims for local requests, answers
// other processes as a replica through Server, and copies its shards. It implements
// Ledger.
//
// Lock order: mu and replicaHealth.mu are never held together, nor during a call.
type Service struct {
	options         Options
	self            fleet.Owner
	lastProposerID  atomic.Uint64
	health          *replicaHealth
	metrics         *metrics
	backgroundSlots chan struct{} // holds a value for each running background task

	mu      sync.Mutex // guards replica
	replica *Replica
}

var _ Ledger = (*Service)(nil)

// maxBackgroundTasks bounds the tasks, such as recording an outcome, that outlive their
// request.
const maxBackgroundTasks = 1024

// backgroundTimeout bounds the duration of each background task.
const backgroundTimeout = 30 * time.Second

// NewService returns a service. Its replica answers only once Run has been called.
func NewService(o Options) *Service {
	o = o.withDefaults()
	self := o.Source.Self().Owner()
	return &Service{
		options:         o,
		self:            self,
		health:          newReplicaHealth(),
		metrics:         newMetrics(o.Registerer),
		backgroundSlots: make(chan struct{}, maxBackgroundTasks),
		replica:         NewReplica(self, o.Limits),
	}
}

// claimTimeoutDivisor divides the record life to give the longest time that a claim may
// take. A process that froze during its claim and resumes after the replicas have
// dropped the record must not be told to run: another attempt may have run since.
const claimTimeoutDivisor = 10

func (s *Service) claimTimeout(state *membership.State) time.Duration {
	return recordLife(s.options, state) / claimTimeoutDivisor
}

func recordLife(o Options, state *membership.State) time.Duration {
	if state.Tree != nil && state.Tree.Fleet.Timeouts.RecordLife > 0 {
		return state.Tree.Fleet.Timeouts.RecordLife
	}
	return o.Limits.RecordLife
}

// Claim implements Ledger.
func (s *Service) Claim(ctx context.Context, c Claim) (Verdict, Record, error) {
	if c.Attempt == "" || !namesWithinLimit(string(c.Attempt), string(c.Endpoint)) {
		return VerdictUnset, Record{}, trace.BadParameter("claim without a valid attempt")
	}
	started := time.Now()
	timeout := s.claimTimeout(s.options.Source.State())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	verdict, record, acceptSent, err := s.decide(ctx, PurposeClaim, c)
	tooLate := verdict == VerdictRun && time.Since(started) >= timeout
	if tooLate {
		verdict, record = VerdictUnknown, Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN}
	}
	if tooLate || (err != nil && acceptSent) {
		s.settleAbandoned(c)
		verdict, record, err = VerdictUnknown, Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN}, nil
	}
	s.reportClaim(c, verdict, err, time.Since(started))
	return verdict, record, err
}

// Lookup implements Ledger.
func (s *Service) Lookup(ctx context.Context, team fleet.Team, key Key, permitted fleet.ZoneSet) (Verdict, Record, error) {
	verdict, record, _, err := s.decide(ctx, PurposeResolve, Claim{Key: key, Team: team, PermittedZones: permitted})
	return verdict, record, err
}

// Forbid implements Ledger.
func (s *Service) Forbid(ctx context.Context, c Claim) (Verdict, Record, error) {
	verdict, record, _, err := s.decide(ctx, PurposeForbid, c)
	return verdict, record, err
}

// Finish implements Ledger.
func (s *Service) Finish(ctx context.Context, c Claim, outcome pb.OutcomeKind, statusCode int) error {
	end := StoredRecord{
		Decision:   intentOf(c.Attempt, s.self),
		Outcome:    outcome,
		Endpoint:   c.Endpoint,
		StatusCode: uint16(min(max(statusCode, 0), maxStatusCode)),
	}
	done := make(chan error, 1)
	started := s.runInBackground(func(ctx context.Context) {
		done <- s.recordOutcome(ctx, c, end)
	})
	if !started {
		return trace.Wrap(s.recordOutcome(ctx, c, end))
	}
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// runInBackground runs work that outlives its request. It returns false if
// maxBackgroundTasks are running already.
func (s *Service) runInBackground(work func(ctx context.Context)) bool {
	select {
	case s.backgroundSlots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-s.backgroundSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		work(ctx)
	}()
	return true
}

// settleAbandoned settles the record of an attempt whose claim ended without a
// decision. The attempt won't run, but its intent may be decided: unless the record is
// settled, repeats are answered "in flight" for as long as this process lives. The
// claim's own shard settles it, even if the team's zones have changed since: what the
// former shards decided stays.
func (s *Service) settleAbandoned(c Claim) {
	s.runInBackground(func(ctx context.Context) {
		verdict, record, err := s.newDriver(PurposeForbid, c, ShardOf(c.Key, c.PermittedZones)).run(ctx)
		if err != nil || verdict != VerdictInFlight || record.Attempt != c.Attempt {
			return
		}
		end := StoredRecord{
			Decision: intentOf(c.Attempt, s.self),
			Outcome:  pb.OutcomeKind_OUTCOME_KIND_NOT_RUN,
			Endpoint: c.Endpoint,
		}
		// If this fails too, repeats are answered "in flight" until the record expires
		// or this process leaves the view. That never lets a request run twice.
		_ = s.recordOutcome(ctx, c, end)
	})
}

func (s *Service) reportClaim(c Claim, v Verdict, err error, took time.Duration) {
	s.metrics.observeClaim(v, err, took)
	if s.options.Recorder == nil {
		return
	}
	kind := timeline.KindLedgerClaimed
	if v != VerdictRun {
		kind = timeline.KindLedgerRefused
	}
	s.options.Recorder.Record(timeline.Event{
		Kind:     kind,
		Attempt:  c.Attempt,
		Endpoint: c.Endpoint,
		Detail:   v.String(),
	})
}
