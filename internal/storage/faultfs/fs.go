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

// ErrSync is the answer of a sync that was made to fail.
var ErrSync = errors.New("input/output error on sync")

// errGone is the answer to a process that a crash ended.
var errGone = errors.New("file handle from before the crash")

// FS implements storage.FS. The zero value is not usable; see New.
type FS struct {
	mu       sync.Mutex // guards all below; never held while stalled
	names    map[string]*node
	durable  map[string]*node // names as of the last SyncDir
	locked   map[string]bool
	life     int   // counts crashes
	capacity int64 // bytes, 0 for no bound
	failSync int   // syncs still to fail; negative for all
	stall    chan struct{}
}

// node is a file's content.
type node struct {
	data    []byte // as a reader sees it
	durable []byte // as a crash would leave it
	dropped int    // bytes of data up to here were given up by a failed sync
}

// New makes an empty disk.
func New() *FS {
	return &FS{names: map[string]*node{}, durable: map[string]*node{}, locked: map[string]bool{}}
}

// MkdirAll implements storage.FS; folders need not be made here.
func (f *FS) MkdirAll(string) error { return nil }

// Create implements storage.FS.
func (f *FS) Create(path string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &node{}
	f.names[path] = n
	return &file{fs: f, node: n, life: f.life}, nil
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
	for path, n := range f.durable {
		if inDir(path, n) {
			delete(f.durable, path)
		}
	}
	for path, n := range f.names {
		if inDir(path, n) {
			f.durable[path] = n
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
	return &lock{fs: f, path: path, life: f.life}, nil
}

// beginSync waits out a stall and gives the error, if one is due.
func (f *FS) beginSync() error {
	f.mu.Lock()
	stall := f.stall
	f.mu.Unlock()
	if stall != nil {
		<-stall
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failSync == 0 {
		return nil
	}
	if f.failSync > 0 {
		f.failSync--
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

// room gives how many of wanted bytes still fit.
func (f *FS) room(wanted int) (int, error) {
	if f.capacity == 0 {
		return wanted, nil
	}
	left := int(max(0, f.capacity-f.used()))
	if left < wanted {
		return left, syscall.ENOSPC
	}
	return wanted, nil
}

// Crash ends the process that uses the disk: names and bytes that were not
// synced are lost, locks and open files are gone. With a random source, a
// part of what was not synced survives, as it may on a real disk.
func (f *FS) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.life++
	f.locked = map[string]bool{}
	f.names = map[string]*node{}
	for _, path := range slices.Sorted(maps.Keys(f.durable)) {
		n := f.durable[path]
		if random != nil {
			n.tear(random)
		}
		n.data = append([]byte(nil), n.durable...)
		n.dropped = 0
		f.names[path] = n
	}
}
