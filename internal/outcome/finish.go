package outcome

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// finishRetryDelay is the delay before recording an outcome is tried again.
const finishRetryDelay = 50 * time.Millisecond

// recordOutcome records an outcome at a majority, retrying until ctx ends.
func (s *Service) recordOutcome(ctx context.Context, c Claim, end StoredRecord) error {
	shard := ShardOf(c.Key, c.PermittedZones)
	for {
		state := s.options.Source.State()
		group, ok := state.LedgerGroups[shard]
		if ok && s.recordOutcomeAt(ctx, c, newFinishRequest(s.groupView(state, group), c.Key, end), group) {
			s.recordFinishEvent(c, end)
			return nil
		}
		select {
		case <-time.After(finishRetryDelay):
		case <-ctx.Done():
			s.metrics.unfinished.Inc()
			return trace.ConnectionProblem(ctx.Err(), "no majority took the outcome of attempt %s", c.Attempt)
		}
	}
}

// recordOutcomeAt sends an outcome to a group and returns true as soon as a majority
// has recorded it. Calls to the other replicas continue.
func (s *Service) recordOutcomeAt(ctx context.Context, c Claim, q Request, g fleet.LedgerGroup) bool {
	ctx = context.WithoutCancel(ctx)
	replies := make(chan bool, len(g.Replicas))
	for _, m := range g.Replicas {
		go func() {
			replies <- s.sendRequest(ctx, c.Team, m.Owner, q).Status == ReplyOK
		}()
	}
	acknowledged := 0
	for range g.Replicas {
		if <-replies {
			acknowledged++
		}
		if acknowledged > len(g.Replicas)/2 {
			return true
		}
	}
	return false
}

func (s *Service) recordFinishEvent(c Claim, end StoredRecord) {
	if s.options.Recorder == nil {
		return
	}
	s.options.Recorder.Record(timeline.Event{
		Kind:     timeline.KindLedgerDone,
		Attempt:  c.Attempt,
		Endpoint: c.Endpoint,
		Detail:   end.Outcome.String(),
	})
}
