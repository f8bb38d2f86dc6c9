package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// decodeAttempts returns all engines' records of attempts with this marker that
// reached decode.
func (e *endpointSet) decodeAttempts(marker string) []standin.AttemptRecord {
	var all []standin.AttemptRecord
	for _, m := range e.all {
		for _, fact := range m.Audit().Attempts {
			if fact.Marker == marker && fact.Decodes > 0 {
				all = append(all, fact)
			}
		}
	}
	return all
}

// anyOverlap reports whether any two of the attempts ran at the same time.
func anyOverlap(all []standin.AttemptRecord) bool {
	for n, a := range all {
		for _, b := range all[n+1:] {
			if a.StartedMs < b.EndedMs && b.StartedMs < a.EndedMs {
				return true
			}
		}
	}
	return false
}

// A caller repeats a model request with the same key while it runs. At the same
// entry the repeat joins the run; at another entry it is answered "in flight" or
// takes the request over. Two runs must never overlap, and each complete answer
// must have the whole text.
func TestModelRequestRepeatedWhileItRuns(t *testing.T) {
	f, e := startModelFleet(t, 3)
	for n, again := range []int{0, 1} {
		marker := fmt.Sprintf("gloss-%d", n)
		r := request{prompt: fmt.Sprintf("[[id=%s]][[tokens=500]]", marker), maxTokens: 500, stream: true, idempotencyKey: marker}
		first := startCompletion(t, f.instances[0], r)
		e.awaitDecoding(t)
		second := mustSendCompletion(t, f.instances[again], r)
		a := <-first
		whole := 0
		for _, got := range []answer{a, second} {
			if got.isComplete() {
				assert.Equal(t, got.text, expectedText(r))
				whole++
			}
		}
		assert.Assert(t, whole > 0, "%+v %+v", a, second)
		e.awaitNothingHeld(t, callTimeout)
		decodes := e.decodeAttempts(marker)
		assert.Assert(t, !anyOverlap(decodes), "%+v", decodes)
		if again == 0 {
			assert.Equal(t, whole, 2, "the repeat didn't join: %+v %+v", a, second)
			assert.Equal(t, len(decodes), 1)
		} else if !second.isComplete() {
			assert.Equal(t, second.outcome, callerapi.OutcomeInFlight, "%+v", second)
		}
	}
}

// startSaturatedFleet starts a fleet whose only decode engine has four slots, all
// taken by long streams until stopStreams is called.
func startSaturatedFleet(t *testing.T) (f *testFleet, e *endpointSet, stopStreams func()) {
	f = startFleet(t, oneZonePlan())
	e = &endpointSet{fleet: f}
	e.add(t, "p", "a", fleet.RolePrefill)
	decode := e.add(t, "d", "a", fleet.RoleDecode, func(o *standin.Options) { o.Slots = 4 })
	e.awaitServing(t)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for n := range 4 {
		r := request{prompt: fmt.Sprintf("long %d [[tokens=30000]]", n), maxTokens: 30000, stream: true}
		go func() { _, _ = sendCompletion(ctx, f.instances[n%3], r) }()
	}
	awaitHeld(t, 4, decode)
	return f, e, cancel
}

// All decode slots are taken for a long time. Requests that can't be served in time
// must be refused early, well before their deadline, with outcome "not run" and a
// retry time, and none of them may run.
func TestRefusalAtOverloadIsAtOnce(t *testing.T) {
	f, e, stopStreams := startSaturatedFleet(t)
	const patience = 10 * time.Second
	refused := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range 60 {
		group.Go(func() {
			marker := fmt.Sprintf("over-%d", n)
			r := request{prompt: fmt.Sprintf("[[id=%s]]", marker), maxTokens: 20, deadlineMs: "10000"}
			begun := time.Now()
			a, err := sendCompletion(callContext(t), f.instances[n%3], r)
			took := time.Since(begun)
			if !assert.Check(t, err) || a.isComplete() {
				return
			}
			assert.Check(t, a.status >= http.StatusBadRequest, "%+v", a)
			if a.apiError.Code != callerapi.CodeOverloaded || a.outcome != callerapi.OutcomeNotRun {
				return
			}
			assert.Check(t, took < patience/2, "refused only after %s: %+v", took, a)
			assert.Check(t, a.apiError.RetryAfterMs > 0, "%+v", a)
			assert.Check(t, len(e.decodeAttempts(marker)) == 0, "%s ran", marker)
			mu.Lock()
			defer mu.Unlock()
			refused++
		})
	}
	group.Wait()
	t.Logf("%d of 60 refused as overloaded, not run", refused)
	assert.Assert(t, refused > 0)
	stopStreams()
	e.awaitNothingHeld(t, 10*time.Second)
}

// Callers disconnect while their requests wait for a decode slot. When slots become
// free, none of these requests may be decoded and nothing may stay held.
func TestCallersGoneInTheQueue(t *testing.T) {
	f, e, stopStreams := startSaturatedFleet(t)
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, _ = sendCompletion(ctx, f.instances[n%3], request{prompt: fmt.Sprintf("[[id=queued-%d]]", n), maxTokens: 20, stream: true})
		})
	}
	group.Wait()
	stopStreams()
	e.awaitNothingHeld(t, 10*time.Second)
	for n := range 12 {
		assert.Check(t, len(e.decodeAttempts(fmt.Sprintf("queued-%d", n))) == 0, "queued-%d was decoded for nobody", n)
	}
}
