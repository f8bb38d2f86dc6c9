package storage

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// loadLog reads all segments and writes the current entries to a new segment.
// The content read may never have reached the disk: after a failed sync the
// kernel can keep pages in its cache, marked clean, that a later sync skips.
// Therefore the Store continues only from the newly written and synced copy.
func (s *Store) loadLog(names []string) error {
	s.nextRecord = 1
	replayed := replay{snapshot: s.state.Snapshot}
	all := parseNumbers(names, segmentPrefix)
	if len(all) == 0 && s.identity.Group != "" {
		return &ErrCorrupt{File: s.dir, Reason: "the disk belongs to a group, but its log is missing"}
	}
	numbers, err := s.skipCopiedSegments(all)
	if err != nil {
		return err
	}
	for i := range numbers {
		if err := s.replaySegment(&replayed, numbers, i); err != nil {
			return err
		}
	}
	if s.identity.Group == "" {
		// A group's first entry is saved before the disk joins the group. A
		// crash between the two leaves an entry of a group that was not created.
		replayed = replay{}
		s.state.Snapshot = nil
	}
	if err := replayed.checkComplete(); err != nil {
		return &ErrCorrupt{File: s.dir, Reason: err.Error()}
	}
	s.hardState = replayed.hardState
	s.state.HardState = replayed.hardState
	s.state.Entries = replayed.entriesAfterSnapshot()
	if err := s.beginSegment(s.compactedBatches()); err != nil {
		return err
	}
	for _, number := range all {
		if err := s.remove(segmentName(number)); err != nil {
			return err
		}
	}
	return nil
}

// skipCopiedSegments returns the numbers without those of segments that a later
// compacted segment replaces. A crash can restore segments that an earlier Open
// removed.
func (s *Store) skipCopiedSegments(numbers []uint64) ([]uint64, error) {
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

// firstBatch reads a segment's first record. It was durable before the segment
// got its name, so it can't be a torn write.
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

// replaySegment reads the segment numbers[i] into r.
func (s *Store) replaySegment(r *replay, numbers []uint64, i int) error {
	path := s.path(segmentName(numbers[i]))
	if i > 0 && numbers[i] != s.nextRecord {
		return &ErrCorrupt{File: path, Reason: fmt.Sprintf("record %d expected, a file is missing", s.nextRecord)}
	}
	s.nextRecord = numbers[i]
	first, err := s.firstBatch(s.nextRecord)
	if err != nil {
		return err
	}
	copiedEnd := s.nextRecord + uint64(first.Copied)
	content, err := s.fs.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	offset := 0
	for offset < len(content) {
		record, err := decodeRecord(content[offset:], s.identity.DiskId)
		if (err != nil || record.number != s.nextRecord) && s.nextRecord < copiedEnd {
			return &ErrCorrupt{File: path, Offset: int64(offset), Reason: fmt.Sprintf("bad record %d in a copy", s.nextRecord)}
		}
		if err != nil || record.number != s.nextRecord {
			return s.checkTail(path, content, offset, numbers, i)
		}
		if err := r.applyPayload(record.payload); err != nil {
			return &ErrCorrupt{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += record.size
		s.nextRecord++
	}
	if s.nextRecord < copiedEnd {
		return &ErrCorrupt{File: path, Offset: int64(offset), Reason: "the copy ends early"}
	}
	return nil
}

// checkTail distinguishes a torn write at the end of the log, which may be
// dropped, from damaged synced content, for which it returns an error. Each
// record is written after its predecessor was synced, so a valid record or a
// segment after the invalid record proves that it had been synced.
func (s *Store) checkTail(path string, content []byte, offset int, numbers []uint64, i int) error {
	if later := findRecord(content[offset+1:], s.identity.DiskId); later >= 0 {
		reason := fmt.Sprintf("bad record %d before a good one at byte %d", s.nextRecord, offset+1+later)
		return &ErrCorrupt{File: path, Offset: int64(offset), Reason: reason}
	}
	if i+1 < len(numbers) {
		// The next segment was started only after this one was full and synced.
		reason := fmt.Sprintf("bad record %d before segment %d", s.nextRecord, numbers[i+1])
		return &ErrCorrupt{File: path, Offset: int64(offset), Reason: reason}
	}
	return nil
}

// compactBatchBytes is the approximate record size in a compacted segment.
const compactBatchBytes = 4 << 20

// compactedBatches returns the current state as the batches of a new segment.
func (s *Store) compactedBatches() []*pb.LogBatch {
	first := &pb.LogBatch{HardState: s.state.HardState, ResetIndex: s.state.Snapshot.GetIndex()}
	batches := []*pb.LogBatch{first}
	size := 0
	for _, e := range s.state.Entries {
		if size > compactBatchBytes {
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

// replay is the state after replaying a sequence of batches.
type replay struct {
	snapshot   *pb.Snapshot
	hardState  *pb.HardState
	entries    []*pb.LogEntry // without gaps
	resetIndex uint64         // latest reset index
}

// checkComplete returns an error if a file is missing: the log continues after a
// missing snapshot, or ends before the known commit index.
func (r *replay) checkComplete() error {
	last := r.snapshot.GetIndex()
	if r.resetIndex > last {
		return trace.BadParameter("log continues after snapshot %d, newest is %d", r.resetIndex, last)
	}
	if n := len(r.entries); n > 0 {
		if first := r.entries[0].Index; first > last+1 {
			return trace.BadParameter("log begins at entry %d, newest snapshot is %d", first, last)
		}
		last = max(last, r.entries[n-1].Index)
	}
	if commit := r.hardState.GetCommit(); commit > last {
		return trace.BadParameter("log ends at entry %d, committed is %d", last, commit)
	}
	return nil
}

func (r *replay) applyPayload(payload []byte) error {
	batch := &pb.LogBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return err
	}
	return r.applyBatch(batch)
}

func (r *replay) applyBatch(batch *pb.LogBatch) error {
	if batch.HardState != nil {
		r.hardState = batch.HardState
	}
	if batch.ResetIndex > 0 {
		r.entries, r.resetIndex = nil, batch.ResetIndex
	}
	for _, e := range batch.Entries {
		if err := r.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) applyEntry(e *pb.LogEntry) error {
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

// entriesAfterSnapshot returns the entries after the snapshot. A crash between a
// leader's snapshot and the record that resets the log leaves old entries. These
// end before the snapshot or have another term at its index, and are dropped.
func (r *replay) entriesAfterSnapshot() []*pb.LogEntry {
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
