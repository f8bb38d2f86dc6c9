package outcome

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// CopyQuery asks a source for a page of a shard's records, for a replica at Epoch.
type CopyQuery struct {
	Shard  fleet.LedgerShard
	Epoch  uint64
	Source fleet.Owner // the process that must answer
	After  *Key        // nil: from the first key
	Limit  int
}

// CopyPage is a source's answer to a CopyQuery.
type CopyPage struct {
	OK      bool // false: this process isn't the source, or is at a later epoch
	Records []CopiedRecord
	Done    bool
}

// maxCopyPageRecords bounds a page, whatever limit a peer asks for.
const maxCopyPageRecords = 2000

// CopyTask is a shard that this replica still has to copy.
type CopyTask struct {
	Shard   fleet.LedgerShard
	Epoch   uint64
	Sources []fleet.Owner // not copied yet
}

// ServePage returns a page of a shard's records. First it seals the shard, so that
// requests of epochs below q.Epoch are refused: if an accept of an earlier epoch were
// taken after the page was read, a majority there could decide an intent that the copy
// lacks, and the request would run twice.
func (r *Replica) ServePage(now time.Time, q CopyQuery) CopyPage {
	if q.Source != r.self || q.Epoch == 0 {
		return CopyPage{}
	}
	s, ok := r.shards[q.Shard]
	if !ok {
		s = r.addShard(q.Shard)
	}
	if q.Epoch < s.epoch {
		return CopyPage{}
	}
	s.epoch = q.Epoch
	if q.After == nil || s.pageKeys == nil {
		s.pageKeys = s.acceptor.acceptedKeys(now)
	}
	limit := min(max(q.Limit, 1), maxCopyPageRecords)
	records, done := s.acceptor.page(now, s.pageKeys, q.After, limit)
	return CopyPage{OK: true, Records: records, Done: done}
}

// CopyTasks returns the shards that still need copying.
func (r *Replica) CopyTasks() []CopyTask {
	var tasks []CopyTask
	for name, s := range r.shards {
		if !s.member || s.group.Epoch != s.epoch || s.completeEpoch == s.epoch || s.readyEpoch == s.epoch {
			continue
		}
		task := CopyTask{Shard: name, Epoch: s.epoch}
		for _, source := range s.group.Sources {
			if !s.copiedSources[source.Owner] {
				task.Sources = append(task.Sources, source.Owner)
			}
		}
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b CopyTask) int { return compareShards(a.Shard, b.Shard) })
	return tasks
}

// Merge takes over a page from a source. It returns false if the page is outdated or
// refused, or there is no room for it.
func (r *Replica) Merge(now time.Time, q CopyQuery, page CopyPage) bool {
	s, ok := r.shards[q.Shard]
	if !ok || !page.OK || s.epoch != q.Epoch || s.group.Epoch != q.Epoch {
		return false
	}
	for _, c := range page.Records {
		if !s.acceptor.Merge(now, c) {
			return false
		}
	}
	if page.Done {
		s.copiedSources[q.Source] = true
	}
	return true
}

// TryComplete marks the shard's copy complete if enough sources are copied, and reports
// whether it is complete.
func (r *Replica) TryComplete(name fleet.LedgerShard) bool {
	s, ok := r.shards[name]
	if !ok || !s.member || s.group.Epoch != s.epoch {
		return false
	}
	if s.completeEpoch != s.epoch && s.majorityCopied() {
		s.completeEpoch = s.epoch
	}
	return s.completeEpoch == s.epoch
}

// majorityCopied reports whether a majority of the sources is copied. The sources are
// the replicas that were ready at the previous epoch, and each majority of these holds
// every decided record. A single source may have missed an intent that the others
// decided.
func (s *shard) majorityCopied() bool {
	copied := 0
	for _, source := range s.group.Sources {
		if s.copiedSources[source.Owner] {
			copied++
		}
	}
	return len(s.group.Sources) == 0 || copied > len(s.group.Sources)/2
}

// CompleteGroups returns the groups whose shard is copied completely and that the
// shared state does not mark ready here yet.
func (r *Replica) CompleteGroups() []fleet.LedgerGroup {
	var groups []fleet.LedgerGroup
	for _, s := range r.shards {
		if s.member && s.completeEpoch == s.epoch && s.group.Epoch == s.epoch && s.readyEpoch != s.epoch {
			groups = append(groups, s.group)
		}
	}
	slices.SortFunc(groups, func(a, b fleet.LedgerGroup) int { return compareShards(a.Shard, b.Shard) })
	return groups
}
