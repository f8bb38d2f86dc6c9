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

// applyChange sends one change of a subtree with the latest version known to f.
func (f *testFleet) applyChange(ctx context.Context, name, document string) error {
	f.changes++
	_, err := sendChange(ctx, f.client, name, f.versions[name], fmt.Sprint("c", f.changes), document, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	f.versions[name]++
	return nil
}

// sendChange sends one change and returns its result; a change that is not accepted
// is an error.
func sendChange(ctx context.Context, client *operator.Client, name string, version uint64, id, document string, wait time.Duration) (*pb.ChangeReply, error) {
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

// addTeams creates the teams with the numbers from to count-1.
func (f *testFleet) addTeams(ctx context.Context, from, count int) error {
	const maxConcurrent = 16
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrent)
	for n := from; n < count; n++ {
		f.versions[settings.TeamPrefix+teamName(n)] = 1
		group.Go(func() error {
			_, err := sendChange(inner, f.client, settings.TeamPrefix+teamName(n), 0, fmt.Sprint("new-", n), teamDocument(n, 0), 0)
			return err
		})
	}
	return group.Wait()
}

// changeAtRate changes the teams' subtrees in turn, rate times per second, until
// ctx ends, and returns how many changes were accepted.
func (f *testFleet) changeAtRate(ctx context.Context, rate, teams int) (accepted int, err error) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return accepted, nil
		case <-ticker.C:
		}
		n := f.changes % teams
		if err := f.applyChange(ctx, settings.TeamPrefix+teamName(n), teamDocument(n, f.changes)); err != nil {
			if ctx.Err() != nil {
				return accepted, nil
			}
			return accepted, trace.Wrap(err)
		}
		accepted++
	}
}
