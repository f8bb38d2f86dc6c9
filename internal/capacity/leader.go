package main

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// measureLeader repeatedly kills the leader with SIGKILL, and measures the time until
// another instance leads and until a change that is sent right after the kill is
// accepted.
func measureLeader(ctx context.Context, o options, r *report) error {
	return withFleet(ctx, o, defaultFleetSize, func(f *testFleet) error {
		t := newTally()
		for n := range o.leaderKills {
			if err := f.killLeader(ctx, t, n); err != nil {
				return trace.Wrap(err, "round %d", n)
			}
		}
		t.report(r, sweepPoint{"daemons", defaultFleetSize})
		return nil
	})
}

func (f *testFleet) killLeader(ctx context.Context, t *tally, round int) error {
	leader, err := f.leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	clients, err := f.survivingClients(leader)
	if err != nil {
		return trace.Wrap(err)
	}
	killed := time.Now()
	leader.process.kill()
	answered := make(chan error, 1)
	go func() { answered <- f.changeAfterKill(ctx, clients[0], round, t, killed) }()
	err = waitForNewLeader(ctx, clients, leader.ID)
	if err != nil {
		return trace.Wrap(err)
	}
	t.add("without a leader after kill -9", "fleet", "ms", milliseconds(time.Since(killed)))
	if err := <-answered; err != nil {
		return trace.Wrap(err)
	}
	if err := leader.start(f.options.binFolder); err != nil {
		return trace.Wrap(err)
	}
	return f.waitUntilCaughtUp(ctx, leader)
}

func (f *testFleet) survivingClients(killed *instance) ([]*operator.Client, error) {
	var clients []*operator.Client
	for _, i := range f.instances[:f.options.control] {
		if i == killed {
			continue
		}
		c, err := f.operatorOf(operatorKey, i.Operators)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// changeAfterKill sends one change and repeats it until it is answered, as an operator
// would. The change ID makes the repeats safe.
func (f *testFleet) changeAfterKill(ctx context.Context, client *operator.Client, round int, t *tally, killed time.Time) error {
	name := settings.TeamPrefix + teamName(0)
	var last error
	err := waitUntil(ctx, "the change is answered", func() bool {
		_, last = sendChange(ctx, client, name, f.versions[name], fmt.Sprint("kill-", round), teamDocument(0, round+1), 0)
		return last == nil
	})
	if err != nil {
		return trace.Wrap(last)
	}
	f.versions[name]++
	t.add("change answered after kill -9", "fleet", "ms", milliseconds(time.Since(killed)))
	return nil
}

// waitForNewLeader polls the surviving instances until one of them reports a leader
// other than the killed one.
func waitForNewLeader(ctx context.Context, clients []*operator.Client, killed string) error {
	led := make(chan struct{}, len(clients))
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, c := range clients {
		go func() {
			for ctx.Err() == nil {
				status, err := c.Status(ctx, &pb.StatusRequest{})
				if err == nil && status.GetLeaderInstance() != "" && status.GetLeaderInstance() != killed {
					led <- struct{}{}
					return
				}
				_ = sleepFor(ctx, 5*time.Millisecond) // the loop checks ctx
			}
		}()
	}
	select {
	case <-led:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("no leader within %v", startTimeout)
	}
}

func (f *testFleet) waitUntilCaughtUp(ctx context.Context, started *instance) error {
	own, err := f.operatorOf(operatorKey, started.Operators)
	if err != nil {
		return trace.Wrap(err)
	}
	leading, err := f.client.Status(ctx, &pb.StatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	err = waitUntil(ctx, "the killed instance has caught up", func() bool {
		status, err := own.Status(ctx, &pb.StatusRequest{})
		return err == nil && status.GetAppliedIndex() >= leading.GetCommitIndex()
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return sleepFor(ctx, time.Second)
}
