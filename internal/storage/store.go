package storage

import (
	"errors"
	"io"
	iofs "io/fs"
	"path/filepath"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// segmentBytes is the size after which a new segment is begun.
const segmentBytes = 8 << 20

// Store is an open data folder. Its methods may be called by one goroutine at
// a time; they hold no lock during I/O but their own.
type Store struct {
	dir    string
	fs     FS
	diskID string

	mu       sync.Mutex // guards all below, and is held during I/O
	lock     io.Closer
	identity *pb.DiskIdentity
	state    consensus.State
	segments []segment // ascending; the last is open for writing
	file     File
	size     int64         // of the last segment
	number   uint64        // of the next record
	hard     *pb.HardState // newest saved
	failed   error
}

// segment is one file of the log.
type segment struct {
	number    uint64 // of its first record, also in its name
	lastIndex uint64 // highest entry index in it
}

// Open takes the folder, makes it when missing, and reads what it holds. An
// empty folder gets a new disk ID. The error is *ErrCorrupt when synced
// content can't be read.
func Open(dir string, fs FS) (*Store, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Store{dir: dir, fs: fs, lock: lock}
	if err := s.load(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) load() error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := s.loadIdentity(names); err != nil {
		return err
	}
	s.diskID = s.identity.DiskId
	if err := s.loadSnapshot(names); err != nil {
		return err
	}
	if err := s.loadLog(names); err != nil {
		return err
	}
	return s.removeTemporary(names)
}

// loadIdentity reads the disk ID, or makes one for an empty folder. A folder
// that has a log but no identity is not empty: a new ID there would let an
// instance that lost part of its disk vote as a new one.
func (s *Store) loadIdentity(names []string) error {
	path := filepath.Join(s.dir, identityName)
	s.identity = &pb.DiskIdentity{}
	err := readWhole(s.fs, path, "", s.identity)
	if !errors.Is(err, iofs.ErrNotExist) {
		return err
	}
	if len(numbered(names, segmentPrefix))+len(numbered(names, snapshotPrefix)) > 0 {
		return &ErrCorrupt{File: path, Reason: "missing beside a log"}
	}
	s.identity = &pb.DiskIdentity{DiskId: uuid.NewString()}
	return writeWhole(s.fs, path, "", 0, s.identity)
}

func (s *Store) loadSnapshot(names []string) error {
	indexes := numbered(names, snapshotPrefix)
	if len(indexes) == 0 {
		return nil
	}
	newest := indexes[len(indexes)-1]
	s.state.Snapshot = &pb.Snapshot{}
	return readWhole(s.fs, s.path(snapshotName(newest)), s.identity.DiskId, s.state.Snapshot)
}

func (s *Store) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil && !errors.Is(err, iofs.ErrNotExist) {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// DiskID names this disk.
func (s *Store) DiskID() string { return s.diskID }

// Group names the group that the disk belongs to, empty for none.
func (s *Store) Group() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.Group
}

// State is what Open read. The entries are those after the snapshot.
func (s *Store) State() consensus.State { return s.state }

// JoinGroup makes durable that the disk belongs to group; it fails when it
// belongs to another.
func (s *Store) JoinGroup(group string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if s.identity.Group != "" {
		return trace.AlreadyExists("disk belongs to group %s", s.identity.Group)
	}
	joined := &pb.DiskIdentity{DiskId: s.identity.DiskId, Group: group}
	if err := writeWhole(s.fs, s.path(identityName), "", 0, joined); err != nil {
		return s.fail(err)
	}
	s.identity = joined
	return nil
}

// Save makes a batch durable: it returns nil only after a sync.
func (s *Store) Save(hard *pb.HardState, entries []*pb.LogEntry) error {
	for {
		part := batchOf(entries)
		entries = entries[len(part):]
		batch := &pb.LogBatch{Entries: part}
		if len(entries) == 0 {
			// The commit index may name the last entry, so it comes last.
			batch.HardState = hard
			return s.append(batch)
		}
		if err := s.append(batch); err != nil {
			return err
		}
	}
}

// batchBytes is about the largest record of the log.
const batchBytes = 8 << 20

// batchOf gives as many of entries as go into one record, at least one.
func batchOf(entries []*pb.LogEntry) []*pb.LogEntry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > batchBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// Install makes a snapshot of a leader durable in place of the whole log,
// then the batch that follows it.
func (s *Store) Install(snapshot *pb.Snapshot, hard *pb.HardState, entries []*pb.LogEntry) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.append(&pb.LogBatch{ResetIndex: snapshot.Index}); err != nil {
		return err
	}
	if err := s.Save(hard, entries); err != nil {
		return err
	}
	return s.trim(snapshot.Index)
}

// SaveSnapshot makes a snapshot of the own state durable and drops the
// segments that it covers. The entries before it stay where they share a
// segment with later ones.
func (s *Store) SaveSnapshot(snapshot *pb.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	return s.trim(snapshot.Index)
}

func (s *Store) writeSnapshot(snapshot *pb.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	path := s.path(snapshotName(snapshot.Index))
	if err := writeWhole(s.fs, path, s.identity.DiskId, snapshot.Index, snapshot); err != nil {
		return s.fail(err)
	}
	return nil
}

// fail remembers that a write or sync went wrong. After a failed sync the
// kernel may have dropped the pages and yet report success for the next sync,
// so that a retry would confirm what isn't there: nothing is tried again.
func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = trace.Wrap(ErrFailed, "%v", err)
	}
	return err
}

// Close releases the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.failed == nil {
		s.failed = trace.Wrap(ErrFailed, "closed")
	}
	return trace.NewAggregate(err, s.lock.Close())
}
