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

// maxSegmentBytes is the size from which on a segment counts as full.
const maxSegmentBytes = 8 << 20

// Store is an open data folder. Only one goroutine at a time may call its
// methods. During I/O they hold only the Store's own lock.
type Store struct {
	dir    string
	fs     FS
	diskID string

	mu          sync.Mutex // guards the fields below; held during I/O
	lock        io.Closer
	identity    *pb.DiskIdentity
	state       consensus.State
	segments    []segment // ascending; the last is open for writing
	file        File
	segmentSize int64         // of the last segment
	nextRecord  uint64        // of the next record
	hardState   *pb.HardState // latest saved
	failed      error
}

// segment is one file of the log.
type segment struct {
	firstRecord uint64 // of its first record, also in its name
	lastIndex   uint64 // highest entry index in the segment
}

// Open locks the folder, creates it if it is missing, and reads its content. An
// empty folder gets a new disk ID. Open returns *ErrCorrupt if synced content
// can't be read.
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

// loadIdentity reads the disk ID, or creates one for an empty folder. A folder
// with a log but no identity is not empty: with a new ID, an instance that lost
// part of its disk could vote as a new one.
func (s *Store) loadIdentity(names []string) error {
	path := filepath.Join(s.dir, identityName)
	s.identity = &pb.DiskIdentity{}
	err := readFile(s.fs, path, "", s.identity)
	if !errors.Is(err, iofs.ErrNotExist) {
		return err
	}
	if len(parseNumbers(names, segmentPrefix))+len(parseNumbers(names, snapshotPrefix)) > 0 {
		return &ErrCorrupt{File: path, Reason: "missing beside a log"}
	}
	s.identity = &pb.DiskIdentity{DiskId: uuid.NewString()}
	return writeFile(s.fs, path, "", 0, s.identity)
}

func (s *Store) loadSnapshot(names []string) error {
	indexes := parseNumbers(names, snapshotPrefix)
	if len(indexes) == 0 {
		return nil
	}
	latest := indexes[len(indexes)-1]
	s.state.Snapshot = &pb.Snapshot{}
	return readFile(s.fs, s.path(snapshotName(latest)), s.identity.DiskId, s.state.Snapshot)
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

// DiskID returns the ID of this disk.
func (s *Store) DiskID() string { return s.diskID }

// Group returns the name of the group that the disk belongs to, or "".
func (s *Store) Group() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.Group
}

// State returns the state that Open read. The entries are those after the
// snapshot.
func (s *Store) State() consensus.State { return s.state }

// JoinGroup persists that the disk belongs to group. It fails if the disk already
// belongs to a group.
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
	if err := writeFile(s.fs, s.path(identityName), "", 0, joined); err != nil {
		return s.setFailed(err)
	}
	s.identity = joined
	return nil
}

// Save persists a hard state and entries. It returns nil only after a sync.
func (s *Store) Save(hard *pb.HardState, entries []*pb.LogEntry) error {
	for {
		part := nextBatch(entries)
		entries = entries[len(part):]
		batch := &pb.LogBatch{Entries: part}
		if len(entries) == 0 {
			// The commit index may be that of the last entry, so the hard
			// state is saved with the last batch.
			batch.HardState = hard
			return s.append(batch)
		}
		if err := s.append(batch); err != nil {
			return err
		}
	}
}

// maxBatchBytes is the approximate maximum size of a log record.
const maxBatchBytes = 8 << 20

// nextBatch returns the first entries that fit into one record, but at least one.
func nextBatch(entries []*pb.LogEntry) []*pb.LogEntry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBatchBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// Install persists a snapshot from the leader, which replaces the whole log, and
// then the given hard state and entries.
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
	return s.removeObsolete(snapshot.Index)
}

// SaveSnapshot persists a snapshot of the local state and removes the segments
// that it covers. Covered entries remain where they share a segment with later
// ones.
func (s *Store) SaveSnapshot(snapshot *pb.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	return s.removeObsolete(snapshot.Index)
}

func (s *Store) writeSnapshot(snapshot *pb.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	path := s.path(snapshotName(snapshot.Index))
	if err := writeFile(s.fs, path, s.identity.DiskId, snapshot.Index, snapshot); err != nil {
		return s.setFailed(err)
	}
	return nil
}

// setFailed records that a write or sync failed, and returns err. After a failed
// sync the kernel may have dropped the pages and still report success for the
// next sync. A retry could confirm lost data, so the Store never retries.
func (s *Store) setFailed(err error) error {
	if s.failed == nil {
		s.failed = trace.Wrap(ErrFailed, "%v", err)
	}
	return err
}

// Close closes the files and unlocks the folder.
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
