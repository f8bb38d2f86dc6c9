package outcome

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Bounds of copying a shard.
const (
	copyPageRecords = 1000
	copyTimeout     = 5 * time.Second // for one pass over a shard's sources
)

// copyShard copies a shard from its sources concurrently, until the copy is complete or
// no source is left.
func (s *Service) copyShard(ctx context.Context, task CopyTask) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	ended := make(chan error, len(task.Sources))
	for _, source := range task.Sources {
		go func() { ended <- s.copyFrom(ctx, task, source) }()
	}
	complete := s.tryComplete(task.Shard)
	for range task.Sources {
		if complete {
			break
		}
		if err := <-ended; err != nil {
			s.options.Part.Debug("Copying a shard from a source failed.", "class", task.Shard.ZoneClass, "shard", task.Shard.Shard, "err", err)
		}
		complete = s.tryComplete(task.Shard)
	}
	if complete {
		s.options.Part.Info("Shard copy is complete.", "class", task.Shard.ZoneClass, "shard", task.Shard.Shard, "epoch", task.Epoch)
	}
}

func (s *Service) tryComplete(name fleet.LedgerShard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.TryComplete(name)
}

func (s *Service) copyFrom(ctx context.Context, task CopyTask, source fleet.Owner) error {
	query := CopyQuery{Shard: task.Shard, Epoch: task.Epoch, Source: source, Limit: copyPageRecords}
	for {
		page, err := s.fetchPage(ctx, query)
		if err != nil {
			return trace.Wrap(err)
		}
		if !s.mergePage(query, page) {
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

func (s *Service) mergePage(q CopyQuery, page CopyPage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Merge(time.Now(), q, page)
}

func (s *Service) servePage(q CopyQuery) CopyPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.ServePage(time.Now(), q)
}

func (s *Service) fetchPage(ctx context.Context, q CopyQuery) (CopyPage, error) {
	if q.Source == s.self {
		return s.servePage(q), nil
	}
	client, err := s.replicaClient(ctx, q.Source, q.Shard)
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
		if record, ok := copiedRecordFromProto(p); ok {
			page.Records = append(page.Records, record)
		}
	}
	return page
}
