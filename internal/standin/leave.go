package standin

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	leavePoll  = 20 * time.Millisecond
	leaveRetry = 100 * time.Millisecond
)

// Leave announces that the endpoint takes no new work, goes on serving, and
// returns nil once no request is held and Timing.LeaveGrace has passed since a
// daemon confirmed. When ctx ends before, it gives an error.
func (s *Standin) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.leftAt = time.Now()
	s.mu.Unlock()
	if len(s.options.Entries) > 0 && !s.announceLeave(ctx) {
		return trace.ConnectionProblem(ctx.Err(), "no daemon confirmed the leave of %q", s.options.ID)
	}
	if !sleep.For(ctx, s.timing.LeaveGrace) {
		return trace.Wrap(ctx.Err())
	}
	for len(s.Held()) > 0 {
		if !sleep.For(ctx, leavePoll) {
			return trace.LimitExceeded("endpoint %q leaves with requests held", s.options.ID)
		}
	}
	return nil
}

// announceLeave tells the home, then others, until one confirms.
func (s *Standin) announceLeave(ctx context.Context) bool {
	for ctx.Err() == nil {
		for _, to := range append([]string{s.HomeAddress()}, s.known()...) {
			if to == "" {
				continue
			}
			var answer engineapi.LeaveReply
			if err := s.tell(ctx, to, pathLeave, s.leaveMessage(), &answer); err == nil {
				return true
			}
		}
		sleep.For(ctx, leaveRetry)
	}
	return false
}
