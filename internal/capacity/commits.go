package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// measureCommits sends changes from several operators concurrently, each to its own
// team and as fast as they are answered. Each commit is synced to disk.
func measureCommits(ctx context.Context, o options, r *report) error {
	return withFleet(ctx, o, defaultFleetSize, func(f *testFleet) error {
		teams := 1
		for _, operators := range []int{1, 8, 32} {
			if err := f.addTeams(ctx, teams, operators); err != nil {
				return trace.Wrap(err)
			}
			teams = max(teams, operators)
			if err := f.measureCommitRate(ctx, r, operators); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
}

func (f *testFleet) measureCommitRate(ctx context.Context, r *report, operators int) error {
	var mu sync.Mutex
	t := newTally()
	began := time.Now()
	group, inner := errgroup.WithContext(ctx)
	for n := range operators {
		name := settings.TeamPrefix + teamName(n)
		version := f.versions[name]
		group.Go(func() error {
			for turn := 0; time.Since(began) < f.options.burstDuration; turn++ {
				sent := time.Now()
				id := fmt.Sprint("commit-", operators, "-", n, "-", turn)
				if _, err := sendChange(inner, f.client, name, version, id, teamDocument(n, turn+1), 0); err != nil {
					return trace.Wrap(err)
				}
				version++
				mu.Lock()
				t.add("change accepted", "fleet", "ms", milliseconds(time.Since(sent)))
				f.versions[name] = version
				mu.Unlock()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return trace.Wrap(err)
	}
	at := sweepPoint{variableOperators, operators}
	count := len(t.values[tallyKey{"change accepted", "fleet", "ms"}])
	r.add("changes", "fleet", "1/s", at, []float64{float64(count) / time.Since(began).Seconds()})
	t.report(r, at)
	return nil
}
