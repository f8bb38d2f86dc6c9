package route

import (
	"context"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// broadcast buffers the output of a running request. Each caller that sent the same
// keyed request reads it at its own pace. At most maxBytes of text are kept. An output
// that outgrows this loses its start, so that no more callers can join, and its writer
// waits for the slowest reader.
type broadcast struct {
	maxBytes int

	mu            sync.Mutex
	chunks        []engineapi.Chunk
	dropped       int // chunks dropped from the front
	bytes         int
	writerWaiting bool // the writer waits for a reader
	readers       map[*reader]struct{}
	answer        *ModelResult  // set when the request has ended
	changed       chan struct{} // closed and replaced at each change
}

// reader is one caller's position in the output.
type reader struct{ next int }

func newBroadcast(maxBytes int) *broadcast {
	return &broadcast{maxBytes: maxBytes, readers: map[*reader]struct{}{}, changed: make(chan struct{})}
}

func (b *broadcast) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// addReader adds a reader at the start of the output. It returns false if the start
// has been dropped.
func (b *broadcast) addReader() (*reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped > 0 {
		return nil, false
	}
	r := &reader{}
	b.readers[r] = struct{}{}
	return r, true
}

// removeReader removes a reader and reports whether it was the last.
func (b *broadcast) removeReader(r *reader) (last bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, r)
	b.notifyLocked()
	return len(b.readers) == 0
}

// append adds a chunk. While the buffer is full it waits for the slowest reader; it
// returns the error of ctx if that ends first.
func (b *broadcast) append(ctx context.Context, c engineapi.Chunk) error {
	for {
		changed, added := b.tryAdd(c)
		if added {
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
	if b.bytes+len(c.Text) > b.maxBytes {
		b.dropReadLocked()
	}
	if b.bytes+len(c.Text) > b.maxBytes && len(b.chunks) > 0 {
		b.writerWaiting = true
		return b.changed, false
	}
	b.chunks = append(b.chunks, c)
	b.bytes += len(c.Text)
	b.notifyLocked()
	return nil, true
}

// dropReadLocked drops the chunks that all readers have read.
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

func (b *broadcast) finish(a ModelResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = &a
	b.notifyLocked()
}

// failed reports whether the request has ended with a failure.
func (b *broadcast) failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answer != nil && b.answer.Failure != nil
}

// batch is the result of one read.
type batch struct {
	chunks  []engineapi.Chunk
	answer  *ModelResult
	changed <-chan struct{}
}

func (b *broadcast) read(r *reader) batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.chunks[r.next-b.dropped:]
	r.next += len(fresh)
	if b.writerWaiting && len(fresh) > 0 {
		b.writerWaiting = false
		b.notifyLocked()
	}
	return batch{chunks: fresh[:len(fresh):len(fresh)], answer: b.answer, changed: b.changed}
}
