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

// A prefill engine's transfers stall for good. Scholars whose prefill went
// there wait a moment longer and get their glosses whole by another prefill.
// The transfer is given up in time, and neither end keeps its memory, though
// the engine stays as it is.
func TestStalledTransferIsGivenUpAndRetried(t *testing.T) {
	f, e := startModelFleet(t, 3)
	stalled := e.all[0]
	stalled.SetFaults(standin.Faults{StallTransfers: true})
	before := stalled.Audit()
	lost := &failureLog{}
	eventually(t, callTimeout, func() error {
		var group sync.WaitGroup
		for n := range 6 {
			group.Go(func() {
				expectComplete(t, f, n, request{prompt: fmt.Sprintf("gloss %d [[tokens=10]]", n), maxTokens: 10, stream: n%2 == 0}, lost)
			})
		}
		group.Wait()
		if stalled.Audit().Runs == before.Runs {
			return fmt.Errorf("no prefill went to the engine that stalls")
		}
		return nil
	})
	lost.report(t)
	e.awaitNothingHeld(t, 10*time.Second)
	assert.Equal(t, stalled.Audit().PrefillUsedMs, before.PrefillUsedMs)
}

// expectComplete sends a request and complains unless it is answered whole.
func expectComplete(t *testing.T, f *testFleet, entry int, r request, lost *failureLog) {
	i := f.instances[entry%len(f.instances)]
	a, err := sendCompletion(callContext(t), i, r)
	if err != nil {
		lost.add("%s: %v", i.id, err)
		return
	}
	if !a.isComplete() || a.text != expectedText(r) {
		lost.add("%s: %+v\n%s", i.id, a, f.eventReport(a.apiError.RequestID))
	}
}

// A decode engine dies in a stream and is back at once, with a new incarnation
// on the same address, and sends chunks of its earlier life in the streams that
// come to it. Each scholar still gets the own text, whole and in order.
func TestEndpointBackOnItsAddressWhileOldChunksArrive(t *testing.T) {
	f, e := startModelFleet(t, 3)
	lost := &failureLog{}
	for round := range 3 {
		var group sync.WaitGroup
		for n := range 9 {
			r := request{prompt: fmt.Sprintf("verse %d %d [[tokens=300]]", round, n), maxTokens: 300, stream: true}
			group.Go(func() { expectComplete(t, f, n, r, lost) })
		}
		old := e.awaitDecoding(t)
		address := old.Address()
		id := string(old.endpointID())
		old.kill()
		again := e.add(t, id, "a", fleet.RoleDecode, func(o *standin.Options) { o.Listen = address })
		again.SetFaults(standin.Faults{ChunkFault: standin.ChunkStale})
		group.Wait()
	}
	lost.report(t)
	e.awaitNothingHeld(t, 10*time.Second)
}
