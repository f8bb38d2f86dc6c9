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

// decodeAttempts gives when decodes of a marker began and ended, over all engines.
func (e *endpointSet) decodeAttempts(marker string) []standin.Fact {
	var all []standin.Fact
	for _, m := range e.all {
		for _, fact := range m.Audit().Attempts {
			if fact.Marker == marker && fact.Decodes > 0 {
				all = append(all, fact)
			}
		}
	}
	return all
}

// anyOverlap tells whether two of the decodes ran at the same time.
func anyOverlap(all []standin.Fact) bool {
	for n, a := range all {
		for _, b := range all[n+1:] {
			if a.StartedMs < b.EndedMs && b.StartedMs < a.EndedMs {
				return true
			}
		}
	}
	return false
}

// A scholar's app loses patience and sends a gloss again with the same key
// while it runs: at the same entry, where it joins the run, and at another one,
// where it is told that the gloss is in flight or takes it over. It never runs
// twice at once, and who is answered has the whole text.
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

// startSaturatedFleet is a fleet whose only decode engine has few slots, all taken by long
// streams until leave is called.
func startSaturatedFleet(t *testing.T) (f *testFleet, e *endpointSet, leave func()) {
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

// All decode memory is taken for a long time. Requests that can't be served in
// time are refused at once with "not run" and a time to come back, long before
// the caller's patience is over, and none of them ran.
func TestRefusalAtOverloadIsAtOnce(t *testing.T) {
	f, e, leave := startSaturatedFleet(t)
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
	leave()
	e.awaitNothingHeld(t, 10*time.Second)
}

// Callers leave while their requests wait for decode memory. When memory comes
// free, none of theirs is decoded and nothing stays held.
func TestCallersGoneInTheQueue(t *testing.T) {
	f, e, leave := startSaturatedFleet(t)
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, _ = sendCompletion(ctx, f.instances[n%3], request{prompt: fmt.Sprintf("[[id=queued-%d]]", n), maxTokens: 20, stream: true})
		})
	}
	group.Wait()
	leave()
	e.awaitNothingHeld(t, 10*time.Second)
	for n := range 12 {
		assert.Check(t, len(e.decodeAttempts(fmt.Sprintf("queued-%d", n))) == 0, "queued-%d was decoded for nobody", n)
	}
}
