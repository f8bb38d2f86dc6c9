package outcome

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The bounds of copying.
const (
	copyPage = 1000            // records
	copyTime = 5 * time.Second // of one try at a shard
)

// copyShard copies a shard from its sources, all at once, until it is whole or
// none is left to try.
func (s *Service) copyShard(ctx context.Context, task CopyTask) {
	ctx, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	ended := make(chan error, len(task.Sources))
	for _, source := range task.Sources {
		go func() { ended <- s.copyFrom(ctx, task, source) }()
	}
	whole := s.tryWhole(task.Shard)
	for range task.Sources {
		if whole {
			break
		}
		if err := <-ended; err != nil {
			s.options.Part.Debug("Shard could not be copied.", "class", task.Shard.ZoneClass, "shard", task.Shard.Shard, "err", err)
		}
		whole = s.tryWhole(task.Shard)
	}
	if whole {
		s.options.Part.Info("Shard is whole.", "class", task.Shard.ZoneClass, "shard", task.Shard.Shard, "epoch", task.Epoch)
	}
}

func (s *Service) tryWhole(name fleet.LedgerShard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.TryWhole(name)
}

func (s *Service) copyFrom(ctx context.Context, task CopyTask, source fleet.Owner) error {
	query := CopyQuery{Shard: task.Shard, Epoch: task.Epoch, Source: source, Limit: copyPage}
	for {
		page, err := s.fetch(ctx, query)
		if err != nil {
			return trace.Wrap(err)
		}
		if !s.merge(query, page) {
			return trace.CompareFailed("source %s gave no page for epoch %d", source, task.Epoch)
		}
		if page.Done {
			return nil
		}
		if len(page.Records) == 0 {
			return trace.BadParameter("source %s gave an empty page", source)
		}
		last := page.Records[len(page.Records)-1].Key
		query.After = &last
	}
}

func (s *Service) merge(q CopyQuery, page CopyPage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Merge(time.Now(), q, page)
}

func (s *Service) source(q CopyQuery) CopyPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Source(time.Now(), q)
}

func (s *Service) fetch(ctx context.Context, q CopyQuery) (CopyPage, error) {
	if q.Source == s.self {
		return s.source(q), nil
	}
	client, err := s.client(ctx, q.Source, q.Shard)
	if err != nil {
		return CopyPage{}, trace.Wrap(err)
	}
	request := &pb.CopyShardRequest{
		Shard:             shardRef(q.Shard, q.Epoch),
		Limit:             uint32(q.Limit),
		SourceIncarnation: uint64(q.Source.Incarnation),
	}
	if q.After != nil {
		request.AfterKey = q.After[:]
	}
	reply, err := client.CopyShard(ctx, request)
	if err != nil {
		return CopyPage{}, trace.Wrap(err)
	}
	return pageFromProto(reply), nil
}

func pageFromProto(reply *pb.CopyShardReply) CopyPage {
	page := CopyPage{OK: reply.GetOk(), Done: reply.GetDone()}
	for _, p := range reply.GetRecords() {
		if record, ok := copiedFromProto(p); ok {
			page.Records = append(page.Records, record)
		}
	}
	return page
}
