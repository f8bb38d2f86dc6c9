package e2e_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// The KV transfers of a prefill engine stall for good. Requests prefilled there must
// complete after a prefill on another engine. The transfer must be given up in time,
// and neither end may keep its memory, although the fault persists.
func TestStalledTransferIsGivenUpAndRetried(t *testing.T) {
	f, e := startModelFleet(t, 3)
	stalled := e.all[0]
	stalled.SetFaults(standin.Faults{StallTransfers: true})
	before := stalled.Audit()
	failures := &failureLog{}
	eventually(t, callTimeout, func() error {
		var group sync.WaitGroup
		for n := range 6 {
			group.Go(func() {
				expectComplete(t, f, n, request{prompt: fmt.Sprintf("gloss %d [[tokens=10]]", n), maxTokens: 10, stream: n%2 == 0}, failures)
			})
		}
		group.Wait()
		if stalled.Audit().Runs == before.Runs {
			return fmt.Errorf("no prefill went to the engine that stalls")
		}
		return nil
	})
	failures.report(t)
	e.awaitNothingHeld(t, 10*time.Second)
	assert.Equal(t, stalled.Audit().PrefillUsedMs, before.PrefillUsedMs)
}

// expectComplete sends a request and records a failure unless it completes with the
// expected text.
func expectComplete(t *testing.T, f *testFleet, entry int, r request, failures *failureLog) {
	i := f.instances[entry%len(f.instances)]
	a, err := sendCompletion(callContext(t), i, r)
	if err != nil {
		failures.add("%s: %v", i.id, err)
		return
	}
	if !a.isComplete() || a.text != expectedText(r) {
		failures.add("%s: %+v\n%s", i.id, a, f.eventReport(a.apiError.RequestID))
	}
}

// A decode engine dies during a stream and restarts at once on the same address with
// a new incarnation. It sends chunks of its previous incarnation in new streams. Each
// caller must still get its own text, complete and in order.
func TestEndpointBackOnItsAddressWhileOldChunksArrive(t *testing.T) {
	f, e := startModelFleet(t, 3)
	failures := &failureLog{}
	for round := range 3 {
		var group sync.WaitGroup
		for n := range 9 {
			r := request{prompt: fmt.Sprintf("verse %d %d [[tokens=300]]", round, n), maxTokens: 300, stream: true}
			group.Go(func() { expectComplete(t, f, n, r, failures) })
		}
		old := e.awaitDecoding(t)
		address := old.Address()
		id := string(old.endpointID())
		old.kill()
		again := e.add(t, id, "a", fleet.RoleDecode, func(o *standin.Options) { o.Listen = address })
		again.SetFaults(standin.Faults{ChunkFault: standin.ChunkEarlierIncarnation})
		group.Wait()
	}
	failures.report(t)
	e.awaitNothingHeld(t, 10*time.Second)
}
