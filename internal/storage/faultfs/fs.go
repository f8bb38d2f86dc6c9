package faultfs

import (
	"errors"
	"io"
	iofs "io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// ErrSync is the error of a sync that FailSyncs made fail.
var ErrSync = errors.New("input/output error on sync")

// errStaleHandle is the error for a file opened before a crash.
var errStaleHandle = errors.New("file handle from before the crash")

// FS implements storage.FS. Use New; the zero value is not usable.
type FS struct {
	mu           sync.Mutex // guards the fields below; not held during a stall
	names        map[string]*node
	durableNames map[string]*node // names as of the last SyncDir
	locked       map[string]bool
	incarnation  int   // number of crashes
	capacity     int64 // bytes; 0 means no limit
	failingSyncs int   // number of syncs still to fail; negative for all
	stall        chan struct{}
}

// node is a file's content.
type node struct {
	data      []byte // content that readers see
	durable   []byte // content after a crash
	lostBytes int    // a failed sync dropped the unsynced bytes before this offset
}

// New returns an empty disk.
func New() *FS {
	return &FS{names: map[string]*node{}, durableNames: map[string]*node{}, locked: map[string]bool{}}
}

// MkdirAll implements storage.FS. It does nothing, since folders exist implicitly.
func (f *FS) MkdirAll(string) error { return nil }

// Create implements storage.FS.
func (f *FS) Create(path string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &node{}
	f.names[path] = n
	return &file{fs: f, node: n, incarnation: f.incarnation}, nil
}

// ReadFile implements storage.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[path]
	if !ok {
		return nil, &iofs.PathError{Op: "open", Path: path, Err: iofs.ErrNotExist}
	}
	return append([]byte(nil), n.data...), nil
}

// ReadDir implements storage.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for path := range f.names {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[from]
	if !ok {
		return &iofs.PathError{Op: "rename", Path: from, Err: iofs.ErrNotExist}
	}
	delete(f.names, from)
	f.names[to] = n
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.names[path]; !ok {
		return &iofs.PathError{Op: "remove", Path: path, Err: iofs.ErrNotExist}
	}
	delete(f.names, path)
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(dir string) error {
	if err := f.beginSync(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	inDir := func(path string, _ *node) bool { return filepath.Dir(path) == filepath.Clean(dir) }
	for path, n := range f.durableNames {
		if inDir(path, n) {
			delete(f.durableNames, path)
		}
	}
	for path, n := range f.names {
		if inDir(path, n) {
			f.durableNames[path] = n
		}
	}
	return nil
}

// Lock implements storage.FS.
func (f *FS) Lock(path string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked[path] {
		return nil, errors.New("locked")
	}
	f.locked[path] = true
	return &lock{fs: f, path: path, incarnation: f.incarnation}, nil
}

// beginSync waits for the end of a stall and returns ErrSync if the sync is to
// fail.
func (f *FS) beginSync() error {
	f.mu.Lock()
	stall := f.stall
	f.mu.Unlock()
	if stall != nil {
		<-stall
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSyncs == 0 {
		return nil
	}
	if f.failingSyncs > 0 {
		f.failingSyncs--
	}
	return ErrSync
}

func (f *FS) used() int64 {
	var sum int64
	for _, n := range f.names {
		sum += int64(len(n.data))
	}
	return sum
}

// freeSpace returns how many of the wanted bytes fit, and ENOSPC if not all do.
func (f *FS) freeSpace(wanted int) (int, error) {
	if f.capacity == 0 {
		return wanted, nil
	}
	free := int(max(0, f.capacity-f.used()))
	if free < wanted {
		return free, syscall.ENOSPC
	}
	return wanted, nil
}

// Crash simulates a crash: unsynced names and bytes are lost, locks are released
// and open files become unusable. With a random source, a random part of the
// unsynced bytes survives, as on a real disk.
func (f *FS) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation++
	f.locked = map[string]bool{}
	f.names = map[string]*node{}
	for _, path := range slices.Sorted(maps.Keys(f.durableNames)) {
		n := f.durableNames[path]
		if random != nil {
			n.persistRandomPart(random)
		}
		n.data = append([]byte(nil), n.durable...)
		n.lostBytes = 0
		f.names[path] = n
	}
}
