package main

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// change makes one change with the version that this program knows.
func (f *testFleet) change(ctx context.Context, name, document string) error {
	f.changes++
	_, err := send(ctx, f.client, name, f.versions[name], fmt.Sprint("c", f.changes), document, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	f.versions[name]++
	return nil
}

// send sends one change and gives its result; a conflict is an error.
func send(ctx context.Context, client *operator.Client, name string, version uint64, id, document string, wait time.Duration) (*pb.ChangeReply, error) {
	reply, err := client.Change(ctx, &pb.ChangeRequest{
		Change:        &pb.ChangeSubtree{Name: name, ExpectedVersion: version, ChangeId: id, Yaml: []byte(document)},
		WaitInForceMs: uint64(wait.Milliseconds()),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if reply.GetResult().GetStatus() != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		return nil, trace.CompareFailed("change %s of %s: %v %s", id, name, reply.GetResult().GetStatus(), reply.GetResult().GetDetail())
	}
	return reply, nil
}

// addTeams makes teams until there are count.
func (f *testFleet) addTeams(ctx context.Context, from, count int) error {
	const atOnce = 16
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(atOnce)
	for n := from; n < count; n++ {
		f.versions[settings.TeamPrefix+teamName(n)] = 1
		group.Go(func() error {
			_, err := send(inner, f.client, settings.TeamPrefix+teamName(n), 0, fmt.Sprint("new-", n), teamDocument(n, 0), 0)
			return err
		})
	}
	return group.Wait()
}

// changeSteadily changes teams' subtrees in turn, rate times a second, until
// ctx ends, and gives how many changes were accepted.
func (f *testFleet) changeSteadily(ctx context.Context, rate, teams int) (accepted int, err error) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return accepted, nil
		case <-ticker.C:
		}
		n := f.changes % teams
		if err := f.change(ctx, settings.TeamPrefix+teamName(n), teamDocument(n, f.changes)); err != nil {
			if ctx.Err() != nil {
				return accepted, nil
			}
			return accepted, trace.Wrap(err)
		}
		accepted++
	}
}
