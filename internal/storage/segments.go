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
		return s.fail(err)
	}
	s.note(batch)
	return s.rotateIfFull()
}

func (s *Store) appendSynced(payload []byte) error {
	content := appendRecord(nil, s.identity.DiskId, s.number, payload)
	if err := writeAndSync(s.file, content); err != nil {
		return err
	}
	s.number++
	s.size += int64(len(content))
	return nil
}

func (s *Store) note(batch *pb.LogBatch) {
	if batch.HardState != nil {
		s.hard = batch.HardState
	}
	last := &s.segments[len(s.segments)-1]
	for _, e := range batch.Entries {
		last.lastIndex = max(last.lastIndex, e.Index)
	}
}

// rotateIfFull begins a new segment, whose first record repeats the newest
// hard state, so that earlier segments can go.
func (s *Store) rotateIfFull() error {
	if s.size < segmentBytes {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return s.fail(trace.ConvertSystemError(err))
	}
	s.file = nil
	if err := s.beginSegment([]*pb.LogBatch{{HardState: s.hard}}); err != nil {
		return s.fail(err)
	}
	return nil
}

// beginSegment makes a segment with batches durable and keeps it open for more.
func (s *Store) beginSegment(batches []*pb.LogBatch) error {
	first := s.number
	content, err := s.encode(batches)
	if err != nil {
		return err
	}
	f, err := createWhole(s.fs, s.path(segmentName(first)), content)
	if err != nil {
		return err
	}
	s.file, s.size = f, int64(len(content))
	s.segments = append(s.segments, segment{number: first})
	for _, b := range batches {
		s.note(b)
	}
	return nil
}

// encode numbers batches as the next records.
func (s *Store) encode(batches []*pb.LogBatch) ([]byte, error) {
	var content []byte
	for _, b := range batches {
		payload, err := proto.Marshal(b)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		content = appendRecord(content, s.identity.DiskId, s.number, payload)
		s.number++
	}
	return content, nil
}

// trim removes what a durable snapshot up to index makes needless: earlier
// snapshots, and segments that hold no later entry, in order, so that a crash
// never leaves a gap.
func (s *Store) trim(index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return s.fail(trace.ConvertSystemError(err))
	}
	for _, old := range numbered(names, snapshotPrefix) {
		if old >= index {
			continue
		}
		if err := s.remove(snapshotName(old)); err != nil {
			return s.fail(err)
		}
	}
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := s.remove(segmentName(s.segments[0].number)); err != nil {
			return s.fail(err)
		}
		// A crash must not undo this removal and keep the next.
		if err := s.fs.SyncDir(s.dir); err != nil {
			return s.fail(trace.ConvertSystemError(err))
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
