package storage

import (
	"errors"
	iofs "io/fs"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func (s *Store) append(batch *pb.LogBatch) error {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if err := s.appendSynced(payload); err != nil {
		return s.setFailed(err)
	}
	s.recordBatch(batch)
	return s.rotateIfFull()
}

func (s *Store) appendSynced(payload []byte) error {
	content := appendRecord(nil, s.identity.DiskId, s.nextRecord, payload)
	if err := writeAndSync(s.file, content); err != nil {
		return err
	}
	s.nextRecord++
	s.segmentSize += int64(len(content))
	return nil
}

func (s *Store) recordBatch(batch *pb.LogBatch) {
	if batch.HardState != nil {
		s.hardState = batch.HardState
	}
	last := &s.segments[len(s.segments)-1]
	for _, e := range batch.Entries {
		last.lastIndex = max(last.lastIndex, e.Index)
	}
}

// rotateIfFull starts a new segment if the current one is full. Its first record
// repeats the latest hard state, so that earlier segments can be removed.
func (s *Store) rotateIfFull() error {
	if s.segmentSize < maxSegmentBytes {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return s.setFailed(trace.ConvertSystemError(err))
	}
	s.file = nil
	if err := s.beginSegment([]*pb.LogBatch{{HardState: s.hardState}}); err != nil {
		return s.setFailed(err)
	}
	return nil
}

// beginSegment durably creates a segment with batches and leaves it open for
// appending.
func (s *Store) beginSegment(batches []*pb.LogBatch) error {
	first := s.nextRecord
	content, err := s.encode(batches)
	if err != nil {
		return err
	}
	f, err := createFile(s.fs, s.path(segmentName(first)), content)
	if err != nil {
		return err
	}
	s.file, s.segmentSize = f, int64(len(content))
	s.segments = append(s.segments, segment{firstRecord: first})
	for _, b := range batches {
		s.recordBatch(b)
	}
	return nil
}

// encode encodes batches as the next records.
func (s *Store) encode(batches []*pb.LogBatch) ([]byte, error) {
	var content []byte
	for _, b := range batches {
		payload, err := proto.Marshal(b)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		content = appendRecord(content, s.identity.DiskId, s.nextRecord, payload)
		s.nextRecord++
	}
	return content, nil
}

// removeObsolete removes the files that a durable snapshot at index replaces:
// earlier snapshots, and segments without later entries. Segments are removed in
// order, so that a crash never leaves a gap.
func (s *Store) removeObsolete(index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return s.setFailed(trace.ConvertSystemError(err))
	}
	for _, old := range parseNumbers(names, snapshotPrefix) {
		if old >= index {
			continue
		}
		if err := s.remove(snapshotName(old)); err != nil {
			return s.setFailed(err)
		}
	}
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := s.remove(segmentName(s.segments[0].firstRecord)); err != nil {
			return s.setFailed(err)
		}
		// A crash must not undo this removal but not the next one.
		if err := s.fs.SyncDir(s.dir); err != nil {
			return s.setFailed(trace.ConvertSystemError(err))
		}
		s.segments = s.segments[1:]
	}
	return nil
}

func (s *Store) remove(name string) error {
	err := s.fs.Remove(s.path(name))
	if errors.Is(err, iofs.ErrNotExist) {
		return nil
	}
	return trace.ConvertSystemError(err)
}
