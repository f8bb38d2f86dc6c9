package connguard

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections that use the processor without end: all together keep to their share.
func TestHeavyConnectionsShareTheProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, burst = time.Second, 100 * time.Microsecond
		turnstile := NewTurnstile(0.5)
		var mu sync.Mutex
		used, running := time.Duration(0), 0
		end := time.Now().Add(length)
		var heavy sync.WaitGroup
		for range 50 {
			heavy.Go(func() {
				for time.Now().Before(end) {
					own := turnstile.enter(time.Now(), 1000, nil)
					mu.Lock()
					running++
					assert.Check(t, running == 1)
					mu.Unlock()
					time.Sleep(burst)
					mu.Lock()
					running--
					used += burst
					mu.Unlock()
					turnstile.leave(own)
				}
			})
		}
		heavy.Wait()
		assert.Assert(t, used > length*4/10 && used < length*6/10, "%s of %s", used, length)
	})
}

// Guards against a connection that waits elsewhere during its turn, and stops all others.
func TestTurnThatIsNotLeftEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turnstile := NewTurnstile(0.5)
		first := turnstile.enter(time.Now(), 100, nil)
		began := time.Now()
		second := turnstile.enter(time.Now(), 100, nil)
		assert.Assert(t, second != nil && time.Since(began) < 10*maxTurn)
		turnstile.leave(first) // has no effect any more
		turnstile.leave(second)
	})
}

// Guards against a connection that has used much and passes those that have used little.
func TestLighterConnectionsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turnstile := NewTurnstile(0.5)
		current := turnstile.enter(time.Now(), 100, nil)
		var mu sync.Mutex
		var order []Work
		var waiting sync.WaitGroup
		for _, work := range []Work{5000, 100, 900} {
			waiting.Go(func() {
				own := turnstile.enter(time.Now(), work, nil)
				mu.Lock()
				order = append(order, work)
				mu.Unlock()
				turnstile.leave(own)
			})
		}
		synctest.Wait()
		turnstile.leave(current)
		waiting.Wait()
		assert.DeepEqual(t, order, []Work{100, 900, 5000})
	})
}

// Guards against a connection that is closed while it waits for its turn, and is never released.
func TestCanceledWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turnstile := NewTurnstile(0.5)
		current := turnstile.enter(time.Now(), 100, nil)
		canceled := make(chan struct{})
		close(canceled)
		assert.Assert(t, turnstile.enter(time.Now(), 100, canceled) == nil)
		turnstile.leave(current)
		assert.Assert(t, turnstile.enter(time.Now(), 100, nil) != nil)
	})
}

// Guards against ordinary requests that wait for their turn.
func TestOrdinaryRequestsAreLight(t *testing.T) {
	now := time.Unix(1000, 0)
	rate := lightRate(200)
	ordinary, oneByteChunks, manyFields := meter{at: now}, meter{at: now}, meter{at: now}
	for range 20 { // a request of 3 KB in two reads each second
		now = now.Add(time.Second)
		ordinary.add(now, workOf(1000, 14), rate)
		assert.Assert(t, ordinary.add(now, workOf(2000, 20)+workPerRequest, rate) < lightWork)
	}
	level := Work(0)
	for range 200 {
		now = now.Add(time.Millisecond)
		level = oneByteChunks.add(now, workOf(6, 2), rate)
	}
	assert.Assert(t, level > lightWork)
	assert.Assert(t, manyFields.add(now, workOf(16<<10, 2300), rate) > lightWork)
}
