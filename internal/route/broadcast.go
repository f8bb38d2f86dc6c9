package route

import (
	"context"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// broadcast is a running answer's output so far, from which each caller that
// sent the same keyed request reads at its own pace. It keeps at most limit
// bytes of text; an answer that grows over it takes no more late joiners and
// waits for its readers.
type broadcast struct {
	limit int

	mu      sync.Mutex
	chunks  []engineapi.Chunk
	dropped int // chunks dropped from the front
	bytes   int
	full    bool // the run waits for a reader
	readers map[*reader]struct{}
	answer  *Answer       // set when the run has ended
	changed chan struct{} // closed and replaced at each change
}

// reader is one caller's place in the answer.
type reader struct{ next int }

func newBroadcast(limit int) *broadcast {
	return &broadcast{limit: limit, readers: map[*reader]struct{}{}, changed: make(chan struct{})}
}

func (b *broadcast) wakeLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// join adds a reader from the start; false when the start is gone.
func (b *broadcast) join() (*reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped > 0 {
		return nil, false
	}
	r := &reader{}
	b.readers[r] = struct{}{}
	return r, true
}

// quit takes a reader out and tells whether it was the last.
func (b *broadcast) quit(r *reader) (last bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, r)
	b.wakeLocked()
	return len(b.readers) == 0
}

// pass adds a chunk; while the kept text is over the limit it waits for the
// slowest reader.
func (b *broadcast) pass(ctx context.Context, c engineapi.Chunk) error {
	for {
		changed, room := b.tryAdd(c)
		if room {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *broadcast) tryAdd(c engineapi.Chunk) (changed <-chan struct{}, added bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes+len(c.Text) > b.limit {
		b.dropReadLocked()
	}
	if b.bytes+len(c.Text) > b.limit && len(b.chunks) > 0 {
		b.full = true
		return b.changed, false
	}
	b.chunks = append(b.chunks, c)
	b.bytes += len(c.Text)
	b.wakeLocked()
	return nil, true
}

// dropReadLocked drops what every reader has.
func (b *broadcast) dropReadLocked() {
	slowest := b.dropped + len(b.chunks)
	for r := range b.readers {
		slowest = min(slowest, r.next)
	}
	n := slowest - b.dropped
	for _, c := range b.chunks[:n] {
		b.bytes -= len(c.Text)
	}
	b.chunks = append([]engineapi.Chunk(nil), b.chunks[n:]...)
	b.dropped = slowest
}

func (b *broadcast) end(a Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = &a
	b.wakeLocked()
}

// failed tells whether the run has ended without a whole answer.
func (b *broadcast) failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answer != nil && b.answer.Failure != nil
}

// batch is what a reader gets at once.
type batch struct {
	chunks  []engineapi.Chunk
	answer  *Answer
	changed <-chan struct{}
}

func (b *broadcast) read(r *reader) batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.chunks[r.next-b.dropped:]
	r.next += len(fresh)
	if b.full && len(fresh) > 0 {
		b.full = false
		b.wakeLocked()
	}
	return batch{chunks: fresh[:len(fresh):len(fresh)], answer: b.answer, changed: b.changed}
}
