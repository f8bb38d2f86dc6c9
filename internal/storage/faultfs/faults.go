package faultfs

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// FailSyncs makes the next n syncs fail; all from now on when n is negative.
func (f *FS) FailSyncs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSync = n
}

// SetCapacity bounds the bytes on the disk; 0 lifts the bound.
func (f *FS) SetCapacity(bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
}

// Used is the number of bytes on the disk.
func (f *FS) Used() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used()
}

// Stall makes each sync wait until the returned function is called.
func (f *FS) Stall() (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stall := make(chan struct{})
	f.stall = stall
	return func() {
		f.mu.Lock()
		f.stall = nil
		f.mu.Unlock()
		close(stall)
	}
}

// Files gives the paths that begin with prefix, ascending.
func (f *FS) Files(prefix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var paths []string
	for path := range f.names {
		if strings.HasPrefix(path, prefix) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// Damage inverts the byte at offset, in the file and on the disk.
func (f *FS) Damage(path string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path]
	n.data[offset] ^= 0xff
	if offset < len(n.durable) {
		n.durable[offset] ^= 0xff
	}
}

// tear leaves a random part of the bytes that were not synced.
func (n *node) tear(random *rand.Rand) {
	waiting := len(n.data) - len(n.durable)
	if waiting > 0 {
		n.persist(len(n.durable) + random.IntN(waiting+1))
	}
}
