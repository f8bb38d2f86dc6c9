package standin

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	leavePollInterval  = 20 * time.Millisecond
	leaveRetryInterval = 100 * time.Millisecond
)

// Leave announces that the endpoint accepts no new work. The endpoint goes on
// serving; Leave returns nil once Timing.LeaveGrace has passed since a daemon's
// confirmation and no request is held. If ctx ends before, it returns an error.
func (s *Standin) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.leaveStarted = time.Now()
	s.mu.Unlock()
	if len(s.options.Entries) > 0 && !s.announceLeave(ctx) {
		return trace.ConnectionProblem(ctx.Err(), "no daemon confirmed the leave of %q", s.options.ID)
	}
	if !sleep.For(ctx, s.timing.LeaveGrace) {
		return trace.Wrap(ctx.Err())
	}
	for len(s.Held()) > 0 {
		if !sleep.For(ctx, leavePollInterval) {
			return trace.LimitExceeded("endpoint %q leaves with requests held", s.options.ID)
		}
	}
	return nil
}

// announceLeave sends the leave to the home, then to other daemons, until one
// confirms. It returns false if ctx ends first.
func (s *Standin) announceLeave(ctx context.Context) bool {
	for ctx.Err() == nil {
		for _, to := range append([]string{s.HomeAddress()}, s.daemonAddresses()...) {
			if to == "" {
				continue
			}
			var answer engineapi.LeaveReply
			if err := s.postToDaemon(ctx, to, pathLeave, s.leaveMessage(), &answer); err == nil {
				return true
			}
		}
		sleep.For(ctx, leaveRetryInterval)
	}
	return false
}
