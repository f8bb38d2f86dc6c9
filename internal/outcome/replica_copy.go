package outcome

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// CopyQuery asks a source for a page of a shard, for a replica at Epoch.
type CopyQuery struct {
	Shard  fleet.LedgerShard
	Epoch  uint64
	Source fleet.Owner // the process that is meant
	After  *Key        // nil: from the first key
	Limit  int
}

// CopyPage is a source's answer.
type CopyPage struct {
	OK      bool // false: this isn't the source, or it is at a later epoch
	Records []CopiedRecord
	Done    bool
}

// maxCopyPage bounds a page whatever a peer asks for.
const maxCopyPage = 2000

// CopyTask is a shard that this replica must copy to become whole.
type CopyTask struct {
	Shard   fleet.LedgerShard
	Epoch   uint64
	Sources []fleet.Owner // not copied yet
}

// Source answers a page of a shard. First it seals the shard below the asked
// epoch: were an accept of an earlier epoch taken after the page was read, a
// majority there could decide an intent that the copy lacks, and the request
// would run twice.
func (r *Replica) Source(now time.Time, q CopyQuery) CopyPage {
	if q.Source != r.self || q.Epoch == 0 {
		return CopyPage{}
	}
	s, ok := r.shards[q.Shard]
	if !ok {
		s = r.newShard(q.Shard)
	}
	if q.Epoch < s.epoch {
		return CopyPage{}
	}
	s.epoch = q.Epoch
	if q.After == nil || s.keys == nil {
		s.keys = s.table.keys(now)
	}
	limit := min(max(q.Limit, 1), maxCopyPage)
	records, done := s.table.page(now, s.keys, q.After, limit)
	return CopyPage{OK: true, Records: records, Done: done}
}

// Tasks gives the shards that still need copying.
func (r *Replica) Tasks() []CopyTask {
	var tasks []CopyTask
	for name, s := range r.shards {
		if !s.member || s.group.Epoch != s.epoch || s.whole == s.epoch || s.ready == s.epoch {
			continue
		}
		task := CopyTask{Shard: name, Epoch: s.epoch}
		for _, source := range s.group.Sources {
			if !s.copied[source.Owner] {
				task.Sources = append(task.Sources, source.Owner)
			}
		}
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b CopyTask) int { return compareShards(a.Shard, b.Shard) })
	return tasks
}

// Merge takes over a page from a source. It gives false when the page is of no
// more use or there is no room for it.
func (r *Replica) Merge(now time.Time, q CopyQuery, page CopyPage) bool {
	s, ok := r.shards[q.Shard]
	if !ok || !page.OK || s.epoch != q.Epoch || s.group.Epoch != q.Epoch {
		return false
	}
	for _, c := range page.Records {
		if !s.table.Merge(now, c) {
			return false
		}
	}
	if page.Done {
		s.copied[q.Source] = true
	}
	return true
}

// TryWhole marks the shard whole when enough sources are copied.
func (r *Replica) TryWhole(name fleet.LedgerShard) bool {
	s, ok := r.shards[name]
	if !ok || !s.member || s.group.Epoch != s.epoch {
		return false
	}
	if s.whole != s.epoch && s.enoughCopied() {
		s.whole = s.epoch
	}
	return s.whole == s.epoch
}

// enoughCopied needs a majority of the sources. The sources are the replicas
// that were ready at the epoch before, and each majority of these holds each
// decided record. One source alone may have missed an intent that the others
// decided.
func (s *shard) enoughCopied() bool {
	copied := 0
	for _, source := range s.group.Sources {
		if s.copied[source.Owner] {
			copied++
		}
	}
	return len(s.group.Sources) == 0 || copied > len(s.group.Sources)/2
}

// Whole gives the shards that are whole and not yet called ready.
func (r *Replica) Whole() []fleet.LedgerGroup {
	var groups []fleet.LedgerGroup
	for _, s := range r.shards {
		if s.member && s.whole == s.epoch && s.group.Epoch == s.epoch && s.ready != s.epoch {
			groups = append(groups, s.group)
		}
	}
	slices.SortFunc(groups, func(a, b fleet.LedgerGroup) int { return compareShards(a.Shard, b.Shard) })
	return groups
}
