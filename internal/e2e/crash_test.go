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

// maxCrashes is the guaranteed bound on the endpoints that one request may crash
// in the whole fleet.
const maxCrashes = 2

// noRequest makes eventReport list only events of endpoints and views.
const noRequest = "none"

// crashCount returns the number of endpoints that have ended.
func (e *endpointSet) crashCount() int {
	count := 0
	for _, m := range e.all {
		if m.ended() {
			count++
		}
	}
	return count
}

// One request crashes each decode engine that runs it. It is sent to two entries at
// once and, after each failure, again with a new key, while nineteen ordinary
// requests run. At most two engines may crash, the ordinary requests must all
// complete, and from then on each entry must refuse the crashing request at once
// and finally.
func TestCrashingRequestAmongNineteenInnocentOnes(t *testing.T) {
	f := startFleet(t, fleetPlan{zones: []string{"a", "a", "a", "a"}, control: 3})
	e := &endpointSet{fleet: f}
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
		group.Go(func() { sendOrdinary(t, f, n) })
	}
	e.awaitDecoding(t)
	for n := range 2 {
		group.Go(func() { sendCrashing(t, f, n) })
	}
	group.Wait()
	assert.Assert(t, e.crashCount() <= maxCrashes, "%d engines crashed:\n%s", e.crashCount(), f.eventReport(noRequest))
	before := e.crashCount()
	t.Logf("%d engines crashed until the verse was contained", before)
	for n, i := range f.instances {
		a := mustSendCompletion(t, i, crashingRequest(fmt.Sprintf("afterwards-%d", n)))
		assert.Equal(t, a.apiError.Code, callerapi.CodeQuarantined, "%+v", a)
		assert.Equal(t, a.apiError.RetryAfterMs, int64(0), "the refusal is final: %+v", a)
	}
	assert.Equal(t, e.crashCount(), before)
	e.awaitNothingHeld(t, 10*time.Second)
}

func crashingRequest(key string) request {
	return request{prompt: "a verse " + crashMarker + " [[tokens=50]]", maxTokens: 50, stream: true, idempotencyKey: key}
}

// sendOrdinary repeats an ordinary request until it completes.
func sendOrdinary(t *testing.T, f *testFleet, n int) {
	r := request{prompt: fmt.Sprintf("innocent %d [[tokens=300]]", n), maxTokens: 300, stream: true}
	pollUntil(t, 3*callTimeout, func() error {
		a, err := sendCompletion(callContext(t), f.instances[n%len(f.instances)], r)
		if err != nil {
			return err
		}
		if !a.isComplete() || a.text != expectedText(r) {
			return fmt.Errorf("innocent %d: %+v", n, a)
		}
		return nil
	})
}

// sendCrashing sends the crashing request with new keys until it is quarantined.
func sendCrashing(t *testing.T, f *testFleet, n int) {
	tries := 0
	pollUntil(t, 3*callTimeout, func() error {
		tries++
		a, err := sendCompletion(callContext(t), f.instances[n], crashingRequest(fmt.Sprintf("verse-%d-%d", n, tries)))
		if err != nil {
			return err
		}
		if a.apiError.Code != callerapi.CodeQuarantined {
			return fmt.Errorf("caller %d, try %d: %+v", n, tries, a)
		}
		return nil
	})
	t.Logf("caller %d was refused for good at its try %d", n, tries)
}
