package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// The bounds of a Bounded writer.
const (
	// boundedBytes is how much waits for a slow reader: some 2,000 lines.
	boundedBytes = 256 << 10
	// flushInterval is the pause between two writes. One write of many lines
	// costs a process far less than one for each.
	flushInterval = 100 * time.Millisecond
	// bytesPerSecond bounds the volume of a process under load.
	bytesPerSecond = 128 << 10
)

// Bounded passes lines on to a writer without ever waiting for it. What finds
// no room, or is over the volume of a second, is dropped and counted, and a
// line says how much. A log whose reader has stopped would otherwise stop the
// process that writes it.
type Bounded struct {
	out io.Writer

	mu      sync.Mutex // guards all below
	held    []byte
	dropped int
	second  int64 // number of the second that spent belongs to
	spent   int
	wake    chan struct{}
}

// NewBounded makes a writer and starts what writes behind it, which lives as
// long as the process.
func NewBounded(out io.Writer) *Bounded {
	b := newBounded(out)
	b.start()
	return b
}

func newBounded(out io.Writer) *Bounded {
	return &Bounded{out: out, wake: make(chan struct{}, 1)}
}

// start runs what writes; the channel is closed when wake is.
func (b *Bounded) start() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run()
	}()
	return done
}

// Write implements io.Writer. It takes one line and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	b.add(time.Now().Unix(), line)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// add is called with b.mu held.
func (b *Bounded) add(second int64, line []byte) {
	if second != b.second {
		b.second, b.spent = second, 0
	}
	if len(b.held)+len(line) > boundedBytes || b.spent+len(line) > bytesPerSecond {
		b.dropped++
		return
	}
	b.spent += len(line)
	b.held = append(b.held, line...)
}

// Flush writes what is held, for the end of a process.
func (b *Bounded) Flush() {
	if held := b.take(); len(held) > 0 {
		_, _ = b.out.Write(held) // there is nowhere to report it
	}
}

func (b *Bounded) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held
	b.held = nil
	if b.dropped > 0 {
		held = fmt.Appendf(held, "level=warn msg=\"logging: Lines were dropped.\" count=%d\n", b.dropped)
		b.dropped = 0
	}
	return held
}

func (b *Bounded) run() {
	for range b.wake {
		time.Sleep(flushInterval)
		b.Flush()
	}
}
