package membership

import (
	"context"
	"errors"
	"fmt"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

func (a *Agent) pullLoop(ctx context.Context) error {
	after := uint64(0)
	backoff := shortestPullBackoff
	for ctx.Err() == nil {
		before := a.follower.state
		err := a.pull(ctx, after)
		after = a.follower.state.Index
		if err == nil {
			backoff = shortestPullBackoff
			if a.follower.state != before {
				sleep.For(ctx, pullSpacing)
			}
			continue
		}
		if errors.Is(err, errGap) {
			after = 0 // the whole state
		}
		a.part.Debug("Pull failed.", "err", err)
		sleep.For(ctx, backoff)
		backoff = min(2*backoff, longestPullBackoff)
	}
	return nil
}

func (a *Agent) pull(ctx context.Context, after uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.setCancelPull(cancel)
	defer a.setCancelPull(nil)
	request := &pb.PullRequest{
		InstanceId:  string(a.self.ID),
		Incarnation: uint64(a.self.Incarnation),
		AfterIndex:  after,
		WaitMs:      uint64(pullWait.Milliseconds()),
	}
	reply, err := a.client.Pull(ctx, request)
	if err != nil {
		return err
	}
	a.metrics.count("pull", request, reply)
	before := a.follower.state
	changed, err := a.follower.take(after, reply)
	if a.follower.state != before {
		a.publish(before, a.follower.state)
	}
	if err == nil && !changed && len(reply.Deltas) > 0 {
		return errGap
	}
	return err
}

func (a *Agent) setCancelPull(cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelPull = cancel
}

func (a *Agent) publish(before, state *State) {
	now := a.now()
	a.mu.Lock()
	a.state = state
	a.lease.settingsLease = state.Tree.Fleet.Timeouts.SettingsLease
	if a.lease.settingsLease <= 0 {
		a.lease.settingsLease = defaultSettingsLease
	}
	a.lease.apply(now, state.Index)
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
	a.tell(before, state)
}

func (a *Agent) tell(before, state *State) {
	a.metrics.index.Set(float64(state.Index))
	a.metrics.view.Set(float64(state.View.Number))
	if state.View.Number != before.View.Number {
		a.record(timeline.Event{Kind: timeline.KindViewChanged, Detail: fmt.Sprintf("view %d", state.View.Number)})
	}
	if state.Tree != before.Tree {
		a.record(timeline.Event{Kind: timeline.KindSettings, Detail: fmt.Sprintf("index %d", state.Index)})
	}
}
