package outcome

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// finishWait is the wait between two tries to record an outcome.
const finishWait = 50 * time.Millisecond

// finish records an outcome at a majority, trying until ctx ends.
func (s *Service) finish(ctx context.Context, c Claim, end Held) error {
	shard := ShardOf(c.Key, c.Permitted)
	for {
		state := s.options.Source.State()
		group, ok := state.LedgerGroups[shard]
		if ok && s.finishAt(ctx, c, finishRequest(s.circumstances(state, group), c.Key, end), group) {
			s.finished(c, end)
			return nil
		}
		select {
		case <-time.After(finishWait):
		case <-ctx.Done():
			s.metrics.unfinished.Inc()
			return trace.ConnectionProblem(ctx.Err(), "no majority took the outcome of attempt %s", c.Attempt)
		}
	}
}

// finishAt gives true as soon as a majority has taken the outcome; the calls to
// the others go on.
func (s *Service) finishAt(ctx context.Context, c Claim, q Request, g fleet.LedgerGroup) bool {
	ctx = context.WithoutCancel(ctx)
	replies := make(chan bool, len(g.Replicas))
	for _, m := range g.Replicas {
		go func() {
			replies <- s.ask(ctx, c.Team, m.Owner, q).Status == ReplyOK
		}()
	}
	taken := 0
	for range g.Replicas {
		if <-replies {
			taken++
		}
		if taken > len(g.Replicas)/2 {
			return true
		}
	}
	return false
}

func (s *Service) finished(c Claim, end Held) {
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
