package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a BoundedWriter.
const (
	// maxBufferedBytes limits the lines that wait for a slow reader: some 2,000 lines.
	maxBufferedBytes = 256 << 10
	// flushInterval is the pause between two writes. One write of many lines costs
	// far less than one write for each line.
	flushInterval = 100 * time.Millisecond
	// maxBytesPerSecond limits the log volume of a process under load.
	maxBytesPerSecond = 128 << 10
)

// BoundedWriter is an io.Writer that buffers lines and writes them to another writer in the
// background, so that Write never blocks: a log whose reader has stopped would otherwise
// block the process. Lines that exceed the buffer or the volume per second are dropped
// and counted, and a later line states the number. Safe for concurrent use.
type BoundedWriter struct {
	out io.Writer

	mu            sync.Mutex // guards the fields below
	buffer        []byte
	dropped       int
	currentSecond int64 // Unix time that acceptedBytes counts for
	acceptedBytes int
	wake          chan struct{}
}

// NewBoundedWriter returns a writer to out and starts its background goroutine, which runs
// until the process ends.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := newBounded(out)
	b.start()
	return b
}

func newBounded(out io.Writer) *BoundedWriter {
	return &BoundedWriter{out: out, wake: make(chan struct{}, 1)}
}

// start starts the background goroutine. The returned channel is closed when the
// goroutine ends, which it does once wake is closed.
func (b *BoundedWriter) start() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.flushLoop()
	}()
	return done
}

// Write implements io.Writer. Each call passes one line; it never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	b.add(time.Now().Unix(), line)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// add buffers a line or counts it as dropped. The caller holds b.mu.
func (b *BoundedWriter) add(second int64, line []byte) {
	if second != b.currentSecond {
		b.currentSecond, b.acceptedBytes = second, 0
	}
	if len(b.buffer)+len(line) > maxBufferedBytes || b.acceptedBytes+len(line) > maxBytesPerSecond {
		b.dropped++
		return
	}
	b.acceptedBytes += len(line)
	b.buffer = append(b.buffer, line...)
}

// Flush writes the buffered lines. Call it before the process exits.
func (b *BoundedWriter) Flush() {
	if buffered := b.takeBuffer(); len(buffered) > 0 {
		_, _ = b.out.Write(buffered) // a failed log write can't be reported
	}
}

func (b *BoundedWriter) takeBuffer() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffered := b.buffer
	b.buffer = nil
	if b.dropped > 0 {
		buffered = fmt.Appendf(buffered, "level=warn msg=\"logging: Lines were dropped.\" count=%d\n", b.dropped)
		b.dropped = 0
	}
	return buffered
}

func (b *BoundedWriter) flushLoop() {
	for range b.wake {
		time.Sleep(flushInterval)
		b.Flush()
	}
}
