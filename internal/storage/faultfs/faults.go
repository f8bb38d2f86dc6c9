package faultfs

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// FailSyncs makes the next n syncs fail, or all further ones if n is negative.
func (f *FS) FailSyncs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failingSyncs = n
}

// SetCapacity limits the number of bytes on the disk; 0 means no limit.
func (f *FS) SetCapacity(bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
}

// Used returns the number of bytes on the disk.
func (f *FS) Used() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used()
}

// Stall blocks syncs until the returned function is called.
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

// Files returns the paths that begin with prefix, in ascending order.
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

// Damage inverts the byte at offset, in the cached and in the durable content.
func (f *FS) Damage(path string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path]
	n.data[offset] ^= 0xff
	if offset < len(n.durable) {
		n.durable[offset] ^= 0xff
	}
}

// persistRandomPart persists a random part of the unsynced bytes.
func (n *node) persistRandomPart(random *rand.Rand) {
	unsynced := len(n.data) - len(n.durable)
	if unsynced > 0 {
		n.persist(len(n.durable) + random.IntN(unsynced+1))
	}
}
