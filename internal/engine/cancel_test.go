package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"gotest.tools/v3/assert"
)

// cancelRecorder records when cancels are sent and answers them.
type cancelRecorder struct {
	mu         sync.Mutex
	times      []time.Duration
	running    int
	maxRunning int
	start      time.Time
	answer     func(n int) error
	duration   time.Duration
}

func (r *cancelRecorder) send(_ context.Context, _ Target, _ fleet.AttemptID) error {
	r.mu.Lock()
	r.times = append(r.times, time.Since(r.start))
	n := len(r.times)
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	r.mu.Unlock()
	time.Sleep(r.duration)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	return r.answer(n)
}

func (r *cancelRecorder) canceller(o Options) *canceller {
	r.start = time.Now()
	return newCanceller(o.withDefaults(), newMetrics(nil), r.send)
}

var errLost = errors.New("lost")

// The network loses a cancel twice. It must be retried until it is confirmed, and
// no more after that.
func TestCancelIsRetriedUntilConfirmed(t *testing.T) {
	for name, confirm := range map[string]error{
		"confirmed":        nil,
		"incarnation gone": &Error{Code: engineapi.CodeStale},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &cancelRecorder{answer: func(n int) error {
					if n < 3 {
						return errLost
					}
					return confirm
				}}
				c := r.canceller(Options{})
				c.add(targetAt("127.0.0.1:1"), testAttempt)
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.DeepEqual(t, r.times, []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond})
				assert.Equal(t, pending(c), 0)
				assert.Equal(t, c.workers, 0)
			})
		})
	}
}

func TestCancelEndsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &cancelRecorder{answer: func(int) error { return errLost }}
		c := r.canceller(Options{})
		c.add(targetAt("127.0.0.1:1"), testAttempt)
		time.Sleep(time.Minute)
		synctest.Wait()
		last := r.times[len(r.times)-1]
		assert.Assert(t, last > 9*time.Second && last <= 10*time.Second, "%s", last)
		assert.Equal(t, pending(c), 0)
		assert.Equal(t, c.workers, 0)
	})
}

// An endpoint dies while it holds many requests, and each cancel hangs. Concurrent
// sends and memory must stay bounded.
func TestCancelsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &cancelRecorder{answer: func(int) error { return nil }, duration: time.Second}
		c := r.canceller(Options{MaxCancelWorkers: 4, MaxPendingCancels: 100})
		for n := range 1000 {
			c.add(targetAt("127.0.0.1:1"), fleet.AttemptID(fmt.Sprint(n)))
		}
		assert.Equal(t, pending(c), 100)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, len(r.times), 100)
		assert.Equal(t, r.maxRunning, 4)
		assert.Equal(t, pending(c), 0)
	})
}

func TestRepeatedCancelIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &cancelRecorder{answer: func(int) error { return nil }, duration: time.Second}
		c := r.canceller(Options{})
		c.add(targetAt("127.0.0.1:1"), testAttempt)
		c.add(targetAt("127.0.0.1:1"), testAttempt)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, len(r.times), 1)
	})
}

func pending(c *canceller) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue.pending)
}
