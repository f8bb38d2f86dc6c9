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

// pipe is a log's reader that may have stopped.
type pipe struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stopped chan struct{} // nil while it reads
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.stopped != nil {
		<-p.stopped
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *pipe) lines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// Whoever reads a process's log stops reading. The process goes on, holds a
// bounded part of what it says, and says later how much is missing.
func TestStoppedReaderHoldsUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{stopped: make(chan struct{})}
		b := newBounded(out)
		done := b.start()
		line := []byte(strings.Repeat("x", 99) + "\n")
		for range 10 {
			for range 2 * boundedBytes / 100 {
				_, err := b.Write(line)
				assert.NilError(t, err)
			}
			time.Sleep(time.Second)
		}
		b.mu.Lock()
		held := len(b.held)
		b.mu.Unlock()
		assert.Assert(t, held <= boundedBytes)
		close(out.stopped)
		_, _ = b.Write(line)
		time.Sleep(time.Second)
		assert.Assert(t, strings.Contains(out.lines(), "Lines were dropped"))
		assert.Assert(t, len(out.lines()) < 2*boundedBytes+1000)
		close(b.wake)
		<-done
	})
}

func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{}
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
		assert.Assert(t, written < 12*bytesPerSecond, "%d bytes in ten seconds", written)
		assert.Assert(t, written > 9*bytesPerSecond, "%d bytes in ten seconds", written)
		close(b.wake)
		<-done
	})
}
