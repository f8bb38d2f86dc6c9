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

// Service is a process' part in the ledger: it claims for local requests,
// answers other processes as a replica through Server, and keeps its shards
// copied. It implements Ledger.
//
// Lock order: mu and health.mu are never held together, nor during a call.
type Service struct {
	options Options
	self    fleet.Owner
	numbers atomic.Uint64 // of proposers
	health  *health
	metrics *metrics
	behind  chan struct{} // slots of background work

	mu      sync.Mutex // guards replica
	replica *Replica
}

var _ Ledger = (*Service)(nil)

// backgroundWork bounds the finishes and clean-ups that outlive their request.
const backgroundWork = 1024

// backgroundLife bounds each of them.
const backgroundLife = 30 * time.Second

// NewService makes the service; Run must run for its replica to answer.
func NewService(o Options) *Service {
	o = o.withDefaults()
	self := o.Source.Self().Owner()
	return &Service{
		options: o,
		self:    self,
		health:  newHealth(),
		metrics: newMetrics(o.Registerer),
		behind:  make(chan struct{}, backgroundWork),
		replica: NewReplica(self, o.Limits),
	}
}

// claimPart is the part of a record's life that a claim may take. A process
// that froze in its claim and wakes after the replicas have dropped the record
// must not be told to run: another attempt may have run since.
const claimPart = 10

func (s *Service) claimLife(state *membership.State) time.Duration {
	return recordLife(s.options, state) / claimPart
}

func recordLife(o Options, state *membership.State) time.Duration {
	if state.Tree != nil && state.Tree.Fleet.Timeouts.RecordLife > 0 {
		return state.Tree.Fleet.Timeouts.RecordLife
	}
	return o.Limits.RecordLife
}

// Claim implements Ledger.
func (s *Service) Claim(ctx context.Context, c Claim) (Verdict, Record, error) {
	if c.Attempt == "" || !namesFit(string(c.Attempt), string(c.Endpoint)) {
		return VerdictUnset, Record{}, trace.BadParameter("claim without a valid attempt")
	}
	begun := time.Now()
	life := s.claimLife(s.options.Source.State())
	ctx, cancel := context.WithTimeout(ctx, life)
	defer cancel()
	verdict, record, proposed, err := s.decide(ctx, PurposeClaim, c)
	late := verdict == VerdictRun && time.Since(begun) >= life
	if late {
		verdict, record = VerdictUnknown, Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN}
	}
	if late || (err != nil && proposed) {
		s.disown(c)
		verdict, record, err = VerdictUnknown, Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN}, nil
	}
	s.observe(c, verdict, err, time.Since(begun))
	return verdict, record, err
}

// Lookup implements Ledger.
func (s *Service) Lookup(ctx context.Context, team fleet.Team, key Key, permitted fleet.ZoneSet) (Verdict, Record, error) {
	verdict, record, _, err := s.decide(ctx, PurposeResolve, Claim{Key: key, Team: team, Permitted: permitted})
	return verdict, record, err
}

// Forbid implements Ledger.
func (s *Service) Forbid(ctx context.Context, c Claim) (Verdict, Record, error) {
	verdict, record, _, err := s.decide(ctx, PurposeForbid, c)
	return verdict, record, err
}

// Finish implements Ledger.
func (s *Service) Finish(ctx context.Context, c Claim, outcome pb.OutcomeKind, statusCode int) error {
	end := Held{
		Decision: intentOf(c.Attempt, s.self),
		Outcome:  outcome,
		Endpoint: c.Endpoint,
		Status:   uint16(min(max(statusCode, 0), maxStatus)),
	}
	done := make(chan error, 1)
	started := s.background(func(ctx context.Context) {
		done <- s.finish(ctx, c, end)
	})
	if !started {
		return trace.Wrap(s.finish(ctx, c, end))
	}
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// background runs work that outlives its request, and gives false when too
// much of it runs already.
func (s *Service) background(work func(ctx context.Context)) bool {
	select {
	case s.behind <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-s.behind }()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundLife)
		defer cancel()
		work(ctx)
	}()
	return true
}

// disown settles the record of an attempt whose claim ended without a
// decision. The attempt won't run, but its intent may be decided: without the
// settling, repeats would be told "in flight" for as long as this process
// lives. The shard of the claim settles it, also when the team's zones have
// changed since: what the former shards decided stands.
func (s *Service) disown(c Claim) {
	s.background(func(ctx context.Context) {
		verdict, record, err := s.newDriver(PurposeForbid, c, ShardOf(c.Key, c.Permitted)).run(ctx)
		if err != nil || verdict != VerdictInFlight || record.Attempt != c.Attempt {
			return
		}
		end := Held{
			Decision: intentOf(c.Attempt, s.self),
			Outcome:  pb.OutcomeKind_OUTCOME_KIND_NOT_RUN,
			Endpoint: c.Endpoint,
		}
		// When this fails too, the repeats' "in flight" lasts until the record
		// or this process goes; it is never wrong to the unsafe side.
		_ = s.finish(ctx, c, end)
	})
}

func (s *Service) observe(c Claim, v Verdict, err error, took time.Duration) {
	s.metrics.claimed(v, err, took)
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
