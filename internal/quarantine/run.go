package quarantine

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Run reports the ends of runs to their guard instances until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	workers, ctx := errgroup.WithContext(ctx)
	for range endWorkers {
		workers.Go(func() error {
			s.sendEnds(ctx)
			return nil
		})
	}
	return workers.Wait()
}

func (s *Service) sendEnds(ctx context.Context) {
	for {
		select {
		case end := <-s.ends:
			s.sendEnd(ctx, end)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) sendEnd(ctx context.Context, end runEnd) {
	for range maxEndAttempts {
		if s.tryEnd(ctx, end) == nil {
			return
		}
	}
	s.metrics.lostEnds.Inc()
}

func (s *Service) tryEnd(ctx context.Context, end runEnd) error {
	guard, ok := guardOf(end.fingerprint, end.permitted, s.options.Source.State())
	if !ok {
		return trace.NotFound("no guard for the fingerprint")
	}
	if guard == s.self {
		s.endLocally(end.fingerprint, end.attempt, end.completed, end.crashed)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	client, err := s.guardClient(ctx, guard, end.permitted)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = client.EndRun(ctx, &pb.EndRunRequest{
		Fingerprint:     end.fingerprint[:],
		AttemptId:       string(end.attempt),
		Completed:       end.completed,
		EndpointCrashed: end.crashed,
	})
	return trace.Wrap(err)
}
