package connguard

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fixedProbe is a delayProbe that always finds the same delay.
type fixedProbe time.Duration

func (p fixedProbe) start(done func(time.Duration)) { go done(time.Duration(p)) }

// Guards against requests of a crowd that delay all others: fewer begin while the processor is late, and
// more again when it isn't.
func TestPaceFollowsTheProcessorsDelay(t *testing.T) {
	p := pace{perSecond: firstPace}
	for range 50 {
		p.observe(20*time.Millisecond, true)
	}
	assert.Equal(t, p.perSecond, float64(minPace))
	for range 200 {
		p.observe(time.Millisecond, true)
	}
	assert.Assert(t, p.perSecond > firstPace)
	before := p.perSecond
	p.observe(time.Millisecond, false)
	assert.Equal(t, p.perSecond, before)
}

// countBegun counts the requests of a crowd that begin within a time, and those that are refused.
func countBegun(length, delay time.Duration) (begun, refused int) {
	p := newPacer(fixedProbe(delay))
	end := time.Now().Add(length)
	var mu sync.Mutex
	var crowd sync.WaitGroup
	for range 50 {
		crowd.Go(func() {
			for time.Now().Before(end) {
				ok := p.enter(time.Now(), 1000, nil)
				mu.Lock()
				if ok {
					begun++
				} else {
					refused++
				}
				mu.Unlock()
				time.Sleep(time.Millisecond) // its service
			}
		})
	}
	crowd.Wait()
	return begun, refused
}

// Guards against a bound on the processor that keeps ordinary traffic from using what is idle.
func TestRequestsAreNotSlowedWhileTheProcessorIsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun, refused := countBegun(3*time.Second, time.Millisecond)
		assert.Assert(t, begun > 10*firstPace, "%d", begun)
		assert.Equal(t, refused, 0)
	})
}

// Guards against requests that wait without end for a processor that is never in time.
func TestRequestsAreRefusedWhileTheProcessorIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun, refused := countBegun(5*time.Second, time.Second/10)
		assert.Assert(t, begun < firstPace, "%d", begun)
		assert.Assert(t, refused > 50, "%d", refused)
	})
}

// Guards against a canceled wait that is never released.
func TestCanceledRequestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(fixedProbe(time.Second))
		p.pace.perSecond = 1
		canceled := make(chan struct{})
		assert.Assert(t, p.enter(time.Now(), 100, nil))
		time.AfterFunc(time.Second/4, func() { close(canceled) })
		assert.Assert(t, !p.enter(time.Now(), 100, canceled))
		time.Sleep(time.Minute)
	})
}

// Guards against a probe that finds no delay while the process doesn't get to its connections.
func TestPipeProbeMeasures(t *testing.T) {
	p := &pipeProbe{}
	for range 3 {
		found := make(chan time.Duration, 1)
		p.start(func(delay time.Duration) { found <- delay })
		assert.Assert(t, <-found > 0)
	}
}

// Guards against ordinary callers who send much over one connection, and are refused since other processes
// take the processor.
func TestOnlyTheProcessesOwnDelayCounts(t *testing.T) {
	for name, test := range map[string]struct {
		delay, used time.Duration
		processors  int
		want        time.Duration
	}{
		"all its own":       {10 * time.Millisecond, 10 * time.Millisecond, 1, 10 * time.Millisecond},
		"taken by others":   {10 * time.Millisecond, time.Millisecond, 1, time.Millisecond},
		"several, all busy": {10 * time.Millisecond, 40 * time.Millisecond, 4, 10 * time.Millisecond},
		"several, one busy": {10 * time.Millisecond, 10 * time.Millisecond, 4, 2500 * time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, ownDelay(test.delay, test.used, test.processors), test.want) })
	}
}

// Guards against a pace that never falls, since the time that the process uses isn't known.
func TestProcessorTimeIsKnown(t *testing.T) {
	before := processorTime()
	for began := time.Now(); time.Since(began) < 20*time.Millisecond; {
	}
	assert.Assert(t, processorTime() > before)
}
