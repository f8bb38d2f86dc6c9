package outcome

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Periods and limits of Run's loops.
const (
	copyPeriod          = 100 * time.Millisecond // between attempts to copy or report
	expirePeriod        = time.Second
	expireBatchRecords  = 5000 // per shard and expirePeriod, with the lock held
	maxConcurrentCopies = 4    // shards
)

// Run follows the shared state until ctx ends: it joins and leaves groups, copies
// shards, reports them ready and drops expired records.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.followState(ctx); return nil })
	group.Go(func() error { s.runEvery(ctx, copyPeriod, s.copyMissingShards); return nil })
	group.Go(func() error { s.runEvery(ctx, expirePeriod, s.expire); return nil })
	return group.Wait()
}

func (s *Service) followState(ctx context.Context) {
	for {
		changed := s.options.Source.Changed()
		s.applyState()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) applyState() {
	state := s.options.Source.State()
	zone := s.options.Source.Self().Zone
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.SetRecordLife(recordLife(s.options, state))
	s.replica.LeaveRemovedGroups(state.LedgerGroups)
	for _, g := range state.LedgerGroups {
		if fleet.ParseZoneClass(g.Shard.ZoneClass).Permits(zone) {
			s.replica.ApplyGroup(g)
		}
	}
}

func (s *Service) runEvery(ctx context.Context, period time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) expire(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.Expire(time.Now(), expireBatchRecords)
	s.metrics.records.Set(float64(s.replica.RecordCount()))
}

// copyMissingShards copies the shards that are missing here and reports those that are
// complete.
func (s *Service) copyMissingShards(ctx context.Context) {
	s.mu.Lock()
	tasks := s.replica.CopyTasks()
	s.mu.Unlock()
	s.metrics.copying.Set(float64(len(tasks)))
	var workers errgroup.Group
	workers.SetLimit(maxConcurrentCopies)
	for _, task := range tasks {
		workers.Go(func() error { s.copyShard(ctx, task); return nil })
	}
	// The workers return no errors: a failed copy is a task again in the next period.
	_ = workers.Wait()
	s.reportReady(ctx)
}

func (s *Service) reportReady(ctx context.Context) {
	s.mu.Lock()
	complete := s.replica.CompleteGroups()
	s.mu.Unlock()
	if len(complete) == 0 || s.options.ReportReady == nil {
		return
	}
	ready := &pb.LedgerReady{
		InstanceId:  string(s.self.Instance),
		Incarnation: uint64(s.self.Incarnation),
	}
	for _, g := range complete {
		ready.Shards = append(ready.Shards, &pb.LedgerShardEpoch{
			ZoneClass: g.Shard.ZoneClass,
			Shard:     g.Shard.Shard,
			Epoch:     g.Epoch,
		})
	}
	if err := s.options.ReportReady(ctx, ready); err != nil {
		s.options.Part.Debug("Reporting shards as ready failed.", "shards", len(complete), "err", err)
	}
}
