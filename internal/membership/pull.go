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
	backoff := minPullBackoff
	for ctx.Err() == nil {
		before := a.follower.state
		err := a.pull(ctx, after)
		after = a.follower.state.Index
		if err == nil {
			backoff = minPullBackoff
			if a.follower.state != before {
				sleep.For(ctx, pullDelayAfterChange)
			}
			continue
		}
		if errors.Is(err, errMissingDeltas) {
			after = 0 // pull the whole state
		}
		a.part.Debug("Pull failed.", "err", err)
		sleep.For(ctx, backoff)
		backoff = min(2*backoff, maxPullBackoff)
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
		WaitMs:      uint64(longPollWait.Milliseconds()),
	}
	reply, err := a.client.Pull(ctx, request)
	if err != nil {
		return err
	}
	a.metrics.countBytes("pull", request, reply)
	before := a.follower.state
	changed, err := a.follower.applyReply(after, reply)
	if a.follower.state != before {
		a.publish(before, a.follower.state)
	}
	if err == nil && !changed && len(reply.Deltas) > 0 {
		return errMissingDeltas
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
	a.reportChanges(before, state)
}

func (a *Agent) reportChanges(before, state *State) {
	a.metrics.index.Set(float64(state.Index))
	a.metrics.view.Set(float64(state.View.Number))
	if state.View.Number != before.View.Number {
		a.record(timeline.Event{Kind: timeline.KindViewChanged, Detail: fmt.Sprintf("view %d", state.View.Number)})
	}
	if state.Tree != before.Tree {
		a.record(timeline.Event{Kind: timeline.KindSettings, Detail: fmt.Sprintf("index %d", state.Index)})
	}
}
