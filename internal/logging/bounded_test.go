package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stoppableWriter simulates a log whose reader has stopped reading: Write blocks until
// stopped is closed.
type stoppableWriter struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stopped chan struct{} // nil: never blocks
}

func (p *stoppableWriter) Write(b []byte) (int, error) {
	if p.stopped != nil {
		<-p.stopped
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *stoppableWriter) lines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// Guards against a process blocking, or buffering without limit, when its log is no longer
// read. Dropped lines must be reported once the reader continues.
func TestStoppedReaderDoesNotBlockWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stoppableWriter{stopped: make(chan struct{})}
		b := newBounded(out)
		done := b.start()
		line := []byte(strings.Repeat("x", 99) + "\n")
		for range 10 {
			for range 2 * maxBufferedBytes / 100 {
				_, err := b.Write(line)
				assert.NilError(t, err)
			}
			time.Sleep(time.Second)
		}
		b.mu.Lock()
		buffered := len(b.buffer)
		b.mu.Unlock()
		assert.Assert(t, buffered <= maxBufferedBytes)
		close(out.stopped)
		_, _ = b.Write(line)
		time.Sleep(time.Second)
		assert.Assert(t, strings.Contains(out.lines(), "Lines were dropped"))
		assert.Assert(t, len(out.lines()) < 2*maxBufferedBytes+1000)
		close(b.wake)
		<-done
	})
}

func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stoppableWriter{}
		b := newBounded(out)
		done := b.start()
		for range 100 {
			for range 400 {
				_, _ = b.Write([]byte(strings.Repeat("y", 99) + "\n"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		written := len(out.lines())
		assert.Assert(t, written < 12*maxBytesPerSecond, "%d bytes in ten seconds", written)
		assert.Assert(t, written > 9*maxBytesPerSecond, "%d bytes in ten seconds", written)
		close(b.wake)
		<-done
	})
}
