package storage

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// loadLog reads all segments, then writes what is live into a fresh one. What
// was read may never have reached the disk: after a failed sync the kernel can
// keep pages in its cache, marked clean, that a later sync passes over. Only
// the fresh copy, written and synced anew, is built upon.
func (s *Store) loadLog(names []string) error {
	s.number = 1
	replayed := replay{snapshot: s.state.Snapshot}
	all := numbered(names, segmentPrefix)
	if len(all) == 0 && s.identity.Group != "" {
		return &ErrCorrupt{File: s.dir, Reason: "the disk belongs to a group, but its log is missing"}
	}
	numbers, err := s.fromNewestCopy(all)
	if err != nil {
		return err
	}
	for i := range numbers {
		if err := s.replaySegment(&replayed, numbers, i); err != nil {
			return err
		}
	}
	if s.identity.Group == "" {
		// Init saves its first entry before the disk joins the group. A crash
		// between the two leaves an entry of a group that never began.
		replayed = replay{}
		s.state.Snapshot = nil
	}
	if err := replayed.check(); err != nil {
		return &ErrCorrupt{File: s.dir, Reason: err.Error()}
	}
	s.hard = replayed.hard
	s.state.HardState = replayed.hard
	s.state.Entries = replayed.live()
	if err := s.beginSegment(s.compacted()); err != nil {
		return err
	}
	for _, number := range all {
		if err := s.remove(segmentName(number)); err != nil {
			return err
		}
	}
	return nil
}

// fromNewestCopy drops the numbers of segments that a later one replaces: a
// crash can bring back what an earlier Open removed.
func (s *Store) fromNewestCopy(numbers []uint64) ([]uint64, error) {
	for i := len(numbers) - 1; i >= 0; i-- {
		first, err := s.firstBatch(numbers[i])
		if err != nil {
			return nil, err
		}
		if first.Copied > 0 {
			return numbers[i:], nil
		}
	}
	return numbers, nil
}

// firstBatch reads a segment's first record. It was durable before the
// segment got its name, so it is never one that was cut short.
func (s *Store) firstBatch(number uint64) (*pb.LogBatch, error) {
	path := s.path(segmentName(number))
	content, err := s.fs.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	record, err := decodeRecord(content, s.identity.DiskId)
	if err != nil {
		return nil, &ErrCorrupt{File: path, Reason: err.Error()}
	}
	batch := &pb.LogBatch{}
	if err := proto.Unmarshal(record.payload, batch); err != nil {
		return nil, &ErrCorrupt{File: path, Reason: err.Error()}
	}
	return batch, nil
}

// replaySegment reads the segment at place i of numbers.
func (s *Store) replaySegment(r *replay, numbers []uint64, i int) error {
	path := s.path(segmentName(numbers[i]))
	if i > 0 && numbers[i] != s.number {
		return &ErrCorrupt{File: path, Reason: fmt.Sprintf("record %d expected, a file is missing", s.number)}
	}
	s.number = numbers[i]
	first, err := s.firstBatch(s.number)
	if err != nil {
		return err
	}
	copied := s.number + uint64(first.Copied)
	content, err := s.fs.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	offset := 0
	for offset < len(content) {
		record, err := decodeRecord(content[offset:], s.identity.DiskId)
		if (err != nil || record.number != s.number) && s.number < copied {
			return &ErrCorrupt{File: path, Offset: int64(offset), Reason: fmt.Sprintf("bad record %d in a copy", s.number)}
		}
		if err != nil || record.number != s.number {
			return s.checkTail(path, content, offset, numbers, i)
		}
		if err := r.takePayload(record.payload); err != nil {
			return &ErrCorrupt{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += record.size
		s.number++
	}
	if s.number < copied {
		return &ErrCorrupt{File: path, Offset: int64(offset), Reason: "the copy ends early"}
	}
	return nil
}

// checkTail tells a write that was cut short, whose record may go, from
// synced content that has been damaged. Each record is written after its
// predecessor was synced, so a good record behind the bad one, or a segment
// that counts on from it, proves that the bad one was synced once.
func (s *Store) checkTail(path string, content []byte, offset int, numbers []uint64, i int) error {
	if later := findRecord(content[offset+1:], s.identity.DiskId); later >= 0 {
		reason := fmt.Sprintf("bad record %d before a good one at byte %d", s.number, offset+1+later)
		return &ErrCorrupt{File: path, Offset: int64(offset), Reason: reason}
	}
	if i+1 < len(numbers) {
		// The next segment was begun because this one was full and synced.
		reason := fmt.Sprintf("bad record %d before segment %d", s.number, numbers[i+1])
		return &ErrCorrupt{File: path, Offset: int64(offset), Reason: reason}
	}
	return nil
}

// compactBytes is about the size of the records of a fresh segment.
const compactBytes = 4 << 20

// compacted gives the live state as batches of a fresh segment.
func (s *Store) compacted() []*pb.LogBatch {
	first := &pb.LogBatch{HardState: s.state.HardState, ResetIndex: s.state.Snapshot.GetIndex()}
	batches := []*pb.LogBatch{first}
	size := 0
	for _, e := range s.state.Entries {
		if size > compactBytes {
			batches = append(batches, &pb.LogBatch{})
			size = 0
		}
		last := batches[len(batches)-1]
		last.Entries = append(last.Entries, e)
		size += len(e.Data)
	}
	first.Copied = uint32(len(batches))
	return batches
}

// replay gathers the state that a sequence of batches amounts to.
type replay struct {
	snapshot *pb.Snapshot
	hard     *pb.HardState
	entries  []*pb.LogEntry // without gaps
	reset    uint64         // newest reset index
}

// check finds out whether a whole file is missing: the log goes on after a
// snapshot that isn't there, or ends before what is known to be committed.
func (r *replay) check() error {
	held := r.snapshot.GetIndex()
	if r.reset > held {
		return trace.BadParameter("log continues after snapshot %d, newest is %d", r.reset, held)
	}
	if n := len(r.entries); n > 0 {
		if first := r.entries[0].Index; first > held+1 {
			return trace.BadParameter("log begins at entry %d, newest snapshot is %d", first, held)
		}
		held = max(held, r.entries[n-1].Index)
	}
	if commit := r.hard.GetCommit(); commit > held {
		return trace.BadParameter("log ends at entry %d, committed is %d", held, commit)
	}
	return nil
}

func (r *replay) takePayload(payload []byte) error {
	batch := &pb.LogBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return err
	}
	return r.take(batch)
}

func (r *replay) take(batch *pb.LogBatch) error {
	if batch.HardState != nil {
		r.hard = batch.HardState
	}
	if batch.ResetIndex > 0 {
		r.entries, r.reset = nil, batch.ResetIndex
	}
	for _, e := range batch.Entries {
		if err := r.takeEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) takeEntry(e *pb.LogEntry) error {
	if len(r.entries) > 0 {
		first, last := r.entries[0].Index, r.entries[len(r.entries)-1].Index
		if e.Index > last+1 {
			return trace.BadParameter("entry %d follows entry %d", e.Index, last)
		}
		r.entries = r.entries[:max(e.Index, first)-first]
	}
	r.entries = append(r.entries, e)
	return nil
}

// live gives the entries after the snapshot. When a crash came between a
// leader's snapshot and the record that resets the log, the old entries differ
// from the snapshot in their term at its index, or end before it: none counts.
func (r *replay) live() []*pb.LogEntry {
	index := r.snapshot.GetIndex()
	if len(r.entries) == 0 || index == 0 {
		return r.entries
	}
	first := r.entries[0].Index
	if index+1 == first {
		return r.entries
	}
	if index-first >= uint64(len(r.entries)) {
		return nil
	}
	if r.entries[index-first].Term != r.snapshot.Term {
		return nil
	}
	return r.entries[index-first+1:]
}
