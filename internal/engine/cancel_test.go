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

// tries records the tries at cancels and answers them.
type tries struct {
	mu      sync.Mutex
	times   []time.Duration
	running int
	most    int
	begun   time.Time
	answer  func(n int) error
	takes   time.Duration
}

func (r *tries) try(_ context.Context, _ Target, _ fleet.AttemptID) error {
	r.mu.Lock()
	r.times = append(r.times, time.Since(r.begun))
	n := len(r.times)
	r.running++
	r.most = max(r.most, r.running)
	r.mu.Unlock()
	time.Sleep(r.takes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	return r.answer(n)
}

func (r *tries) canceller(o Options) *canceller {
	r.begun = time.Now()
	return newCanceller(o.withDefaults(), newMetrics(nil), r.try)
}

var errLost = errors.New("lost")

// The network loses a cancel twice. The engine must be asked again until it
// confirms, and then no more.
func TestCancelIsRetriedUntilConfirmed(t *testing.T) {
	for name, confirm := range map[string]error{
		"confirmed":        nil,
		"incarnation gone": &Error{Code: engineapi.CodeStale},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &tries{answer: func(n int) error {
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

func TestCancelEndsAtItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &tries{answer: func(int) error { return errLost }}
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

// An endpoint dies with many callers' requests, and each cancel hangs. Tries
// and memory must stay bounded.
func TestCancelsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &tries{answer: func(int) error { return nil }, takes: time.Second}
		c := r.canceller(Options{CancelWorkers: 4, CancelPending: 100})
		for n := range 1000 {
			c.add(targetAt("127.0.0.1:1"), fleet.AttemptID(fmt.Sprint(n)))
		}
		assert.Equal(t, pending(c), 100)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, len(r.times), 100)
		assert.Equal(t, r.most, 4)
		assert.Equal(t, pending(c), 0)
	})
}

func TestRepeatedCancelIsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &tries{answer: func(int) error { return nil }, takes: time.Second}
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
	return len(c.plan.pending)
}
