package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// The load: callers whose streams broke return within an instant, beside the usual load.
const (
	resumptionCount  = 40
	resumptionPeriod = 100 * time.Millisecond
	usualRate        = 13 // requests a second
	usualCount       = 60
)

// resumptionResult is how new and returning requests were served.
type resumptionResult struct{ fresh, freshInTarget, returned, returnedServed int }

func runResumptions(t *testing.T, without ...dispatch.Mechanism) resumptionResult {
	t.Helper()
	policy, err := dispatch.Without(without...)
	assert.NilError(t, err)
	var result resumptionResult
	synctest.Test(t, func(t *testing.T) {
		entries := newEntries(newEngines(engineMemory), fleetShape{entries: 7, prefill: 3, decode: 9, reserves: true}, policy, nil)
		random := rand.New(rand.NewPCG(3, 5))
		var mu sync.Mutex
		var all sync.WaitGroup
		send := func(n int, after string) {
			x := randomRequest(random, n)
			x.LastEventID = after
			entry := entries[random.IntN(len(entries))]
			all.Go(func() {
				c := &timedCaller{}
				refusal := entry.Serve(t.Context(), x, c)
				mu.Lock()
				defer mu.Unlock()
				if after != "" {
					result.returned++
					if refusal == nil {
						result.returnedServed++
					}
					return
				}
				result.fresh++
				if refusal == nil && c.firstAt().Sub(x.Received) <= 900*time.Millisecond {
					result.freshInTarget++
				}
			})
		}
		for n := range resumptionCount {
			send(n, fmt.Sprint(1+random.IntN(40)))
			time.Sleep(resumptionPeriod / resumptionCount)
		}
		for n := range usualCount {
			send(resumptionCount+n, "")
			time.Sleep(time.Duration(random.ExpFloat64() / usualRate * float64(time.Second)))
		}
		all.Wait()
	})
	return result
}

// Load pattern: all entries lose power. A moment later callers whose streams broke return
// together, each with a prompt to be prefilled again. New requests that queue behind
// them at the prefill endpoints would miss their targets, and the resumed answers are late
// in any case.
func TestNewRequestsBesideResumptions(t *testing.T) {
	with, without := runResumptions(t), runResumptions(t, dispatch.LocalPrefillOnResume)
	t.Logf("local prefill on resume: %+v; off: %+v", with, without)
	assert.Assert(t, with.freshInTarget > without.freshInTarget)
	assert.Assert(t, with.returnedServed >= without.returnedServed)
}
