package outcome

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The periods of Run's loops.
const (
	copyPeriod   = 100 * time.Millisecond // between tries to copy or report
	expirePeriod = time.Second
	expireBatch  = 5000 // records of a shard in one go, with the lock held
	copyWorkers  = 4    // shards copied at once
)

// Run follows the shared state until ctx ends: it joins and leaves groups,
// copies shards, reports them ready and drops old records.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.follow(ctx); return nil })
	group.Go(func() error { s.every(ctx, copyPeriod, s.repair); return nil })
	group.Go(func() error { s.every(ctx, expirePeriod, s.expire); return nil })
	return group.Wait()
}

func (s *Service) follow(ctx context.Context) {
	for {
		changed := s.options.Source.Changed()
		s.apply()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) apply() {
	state := s.options.Source.State()
	zone := s.options.Source.Self().Zone
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.SetRecordLife(recordLife(s.options, state))
	s.replica.Retain(state.LedgerGroups)
	for _, g := range state.LedgerGroups {
		if fleet.ParseZoneClass(g.Shard.ZoneClass).Permits(zone) {
			s.replica.ApplyGroup(g)
		}
	}
}

func (s *Service) every(ctx context.Context, period time.Duration, work func(context.Context)) {
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
	s.replica.Expire(time.Now(), expireBatch)
	s.metrics.records.Set(float64(s.replica.Records()))
}

// repair copies what is missing and reports what is whole.
func (s *Service) repair(ctx context.Context) {
	s.mu.Lock()
	tasks := s.replica.Tasks()
	s.mu.Unlock()
	s.metrics.copying.Set(float64(len(tasks)))
	var workers errgroup.Group
	workers.SetLimit(copyWorkers)
	for _, task := range tasks {
		workers.Go(func() error { s.copyShard(ctx, task); return nil })
	}
	// The workers give no errors: what wasn't copied is a task again.
	_ = workers.Wait()
	s.report(ctx)
}

func (s *Service) report(ctx context.Context) {
	s.mu.Lock()
	whole := s.replica.Whole()
	s.mu.Unlock()
	if len(whole) == 0 || s.options.Ready == nil {
		return
	}
	ready := &pb.LedgerReady{
		InstanceId:  string(s.self.Instance),
		Incarnation: uint64(s.self.Incarnation),
	}
	for _, g := range whole {
		ready.Shards = append(ready.Shards, &pb.LedgerShardEpoch{
			ZoneClass: g.Shard.ZoneClass,
			Shard:     g.Shard.Shard,
			Epoch:     g.Epoch,
		})
	}
	if err := s.options.Ready(ctx, ready); err != nil {
		s.options.Part.Debug("Shards could not be reported ready.", "shards", len(whole), "err", err)
	}
}
