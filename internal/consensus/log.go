package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// replicatedLog holds the entries after offset and the latest snapshot, whose
// index is at or after offset. Entries are immutable once appended.
type replicatedLog struct {
	snapshot   *pb.Snapshot // latest; nil if there is none
	incoming   *pb.Snapshot // received from a leader, not yet persisted
	offset     uint64       // index before entries[0]
	offsetTerm uint64
	entries    []*pb.LogEntry
	stable     uint64 // index of the last persisted entry
	commit     uint64
	applied    uint64
	// memberships are sorted by index; the first is the one at offset.
	memberships []membershipRecord
}

// membershipRecord is the membership in effect from the entry at index on.
type membershipRecord struct {
	index      uint64
	membership *pb.Membership
}

func newLog(state State) replicatedLog {
	l := replicatedLog{memberships: []membershipRecord{{membership: &pb.Membership{}}}}
	if state.Snapshot != nil {
		l.reset(state.Snapshot)
	}
	for _, e := range state.Entries {
		l.append(e)
	}
	l.stable = l.last()
	if state.HardState != nil && state.HardState.Commit > l.commit {
		// A commit index is never saved before its entries, so it never
		// exceeds the log.
		l.commit = min(state.HardState.Commit, l.last())
	}
	return l
}

// reset discards all entries and continues the log after s.
func (l *replicatedLog) reset(s *pb.Snapshot) {
	l.snapshot = s
	l.offset, l.offsetTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.memberships = []membershipRecord{{index: s.Index, membership: s.Membership}}
}

func (l *replicatedLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.termAt(l.last())
	return term
}

// termAt returns the term of the entry at index, and false if the log doesn't
// hold it.
func (l *replicatedLog) termAt(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *replicatedLog) matches(index, term uint64) bool {
	t, ok := l.termAt(index)
	return ok && t == term
}

func (l *replicatedLog) append(e *pb.LogEntry) {
	if e.Index != l.last()+1 {
		panic(fmt.Sprintf("consensus: entry %d appended after %d", e.Index, l.last()))
	}
	l.entries = append(l.entries, e)
	if e.Kind != pb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	membership := &pb.Membership{}
	if err := proto.Unmarshal(e.Data, membership); err != nil {
		panic(fmt.Sprintf("consensus: membership entry %d: %v", e.Index, err))
	}
	l.memberships = append(l.memberships, membershipRecord{index: e.Index, membership: membership})
}

// truncate drops the entries from index on and their memberships.
func (l *replicatedLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: committed entry %d would be dropped (commit %d)", index, l.commit))
	}
	// The capacity is limited because queued messages may share the array,
	// which must not be overwritten.
	l.entries = l.entries[: index-l.offset-1 : index-l.offset-1]
	l.stable = min(l.stable, index-1)
	for n := len(l.memberships); n > 1 && l.memberships[n-1].index >= index; n-- {
		l.memberships = l.memberships[:n-1]
	}
}

// slice returns the entries from index on, up to maxBytes but at least one.
func (l *replicatedLog) slice(index uint64, maxBytes int) []*pb.LogEntry {
	entries := l.entries[index-l.offset-1:]
	size := 0
	for i, e := range entries {
		size += len(e.Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// entryOverhead is the approximate size in bytes of an encoded entry without
// its data.
const entryOverhead = 24

func (l *replicatedLog) unstable() []*pb.LogEntry {
	return l.entries[l.stable-l.offset:]
}

// unapplied returns the committed entries that are not applied yet. They may
// also be in Entries of the same Ready, which are persisted first.
func (l *replicatedLog) unapplied() []*pb.LogEntry {
	if l.applied >= l.commit {
		return nil
	}
	return l.entries[l.applied-l.offset : l.commit-l.offset]
}

func (l *replicatedLog) membership() *pb.Membership {
	return l.memberships[len(l.memberships)-1].membership
}

func (l *replicatedLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

// membershipAtIndex returns the membership in effect at index.
func (l *replicatedLog) membershipAtIndex(index uint64) *pb.Membership {
	found := l.memberships[0].membership
	for _, m := range l.memberships {
		if m.index <= index {
			found = m.membership
		}
	}
	return found
}

// compact records a snapshot of the local state machine and drops the entries
// before keepFrom.
func (l *replicatedLog) compact(s *pb.Snapshot, keepFrom uint64) {
	l.snapshot = s
	first := min(keepFrom, s.Index+1)
	if first <= l.offset+1 {
		return
	}
	offset := first - 1
	term, _ := l.termAt(offset)
	membership := membershipRecord{index: offset, membership: l.membershipAtIndex(offset)}
	rest := []membershipRecord{membership}
	for _, m := range l.memberships {
		if m.index > offset {
			rest = append(rest, m)
		}
	}
	l.entries = append([]*pb.LogEntry(nil), l.entries[offset-l.offset:]...)
	l.offset, l.offsetTerm, l.memberships = offset, term, rest
}

// conflictIndex returns the last index at or before index whose entry has at
// most the given term. The two logs can't match after it.
func (l *replicatedLog) conflictIndex(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		t, _ := l.termAt(index)
		if t <= term {
			break
		}
		index--
	}
	return index
}
