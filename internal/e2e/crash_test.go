package e2e_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

const crashMarker = "[[crash]]"

// mostCrashes is the promise over the whole fleet.
const mostCrashes = 2

// noRequest asks for the deaths of endpoints alone.
const noRequest = "none"

// crashed counts the endpoints that have ended.
func (e *engines) crashed() int {
	count := 0
	for _, m := range e.all {
		if m.ended() {
			count++
		}
	}
	return count
}

// One scholar's verse crashes each decode engine that runs it. Its caller sends
// it from two entries at once and, after each failure, again with a new key.
// Nineteen innocent glosses run beside it. At most two engines die, the
// innocent ones are all answered whole in the end, and from then on the verse
// is refused, for good and at once, at each entry.
func TestCrashingRequestAmongNineteenInnocentOnes(t *testing.T) {
	f := startFleet(t, plan{zones: []string{"a", "a", "a", "a"}, control: 3})
	e := &engines{fleet: f}
	e.add(t, "p1", "a", fleet.RolePrefill)
	e.add(t, "p2", "a", fleet.RolePrefill)
	for n := range 5 {
		e.add(t, fmt.Sprintf("d%d", n), "a", fleet.RoleDecode, func(o *standin.Options) {
			o.CrashMarker, o.CrashStage = crashMarker, "decode"
		})
	}
	e.awaitServing(t)
	var group sync.WaitGroup
	for n := range 19 {
		group.Go(func() { innocent(t, f, n) })
	}
	e.decodingAt(t)
	for n := range 2 {
		group.Go(func() { crashing(t, f, n) })
	}
	group.Wait()
	assert.Assert(t, e.crashed() <= mostCrashes, "%d engines crashed:\n%s", e.crashed(), f.story(noRequest))
	before := e.crashed()
	t.Logf("%d engines crashed until the verse was contained", before)
	for n, i := range f.instances {
		a := mustAsk(t, i, verse(fmt.Sprintf("afterwards-%d", n)))
		assert.Equal(t, a.refused.Code, callerapi.CodeQuarantined, "%+v", a)
		assert.Equal(t, a.refused.RetryAfterMs, int64(0), "the refusal is final: %+v", a)
	}
	assert.Equal(t, e.crashed(), before)
	e.awaitNothingHeld(t, 10*time.Second)
}

func verse(key string) request {
	return request{prompt: "a verse " + crashMarker + " [[tokens=50]]", maxTokens: 50, stream: true, key: key}
}

// innocent asks until it is answered whole.
func innocent(t *testing.T, f *testFleet, n int) {
	r := request{prompt: fmt.Sprintf("innocent %d [[tokens=300]]", n), maxTokens: 300, stream: true}
	poll(t, 3*callTime, func() error {
		a, err := ask(callContext(t), f.instances[n%len(f.instances)], r)
		if err != nil {
			return err
		}
		if !a.whole() || a.text != wanted(r) {
			return fmt.Errorf("innocent %d: %+v", n, a)
		}
		return nil
	})
}

// crashing sends the verse with new keys until it is refused for good.
func crashing(t *testing.T, f *testFleet, n int) {
	tries := 0
	poll(t, 3*callTime, func() error {
		tries++
		a, err := ask(callContext(t), f.instances[n], verse(fmt.Sprintf("verse-%d-%d", n, tries)))
		if err != nil {
			return err
		}
		if a.refused.Code != callerapi.CodeQuarantined {
			return fmt.Errorf("caller %d, try %d: %+v", n, tries, a)
		}
		return nil
	})
	t.Logf("caller %d was refused for good at its try %d", n, tries)
}
