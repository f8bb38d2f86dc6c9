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

// The load of a herd: callers whose streams broke come back within an instant,
// beside the usual load.
const (
	herdSize   = 40
	herdWithin = 100 * time.Millisecond
	usualRate  = 13 // requests a second
	usualCount = 60
)

// herd is how fresh requests fared beside it.
type herd struct{ fresh, freshInTarget, returned, returnedServed int }

func playHerd(t *testing.T, without ...dispatch.Mechanism) herd {
	t.Helper()
	policy, err := dispatch.Without(without...)
	assert.NilError(t, err)
	var h herd
	synctest.Test(t, func(t *testing.T) {
		entries := newEntries(newEngines(engineMemory), fleetShape{entries: 7, readers: 3, generating: 9, holds: true}, policy, nil)
		random := rand.New(rand.NewPCG(3, 5))
		var mu sync.Mutex
		var all sync.WaitGroup
		send := func(n int, after string) {
			x := bursting(random, n)
			x.After = after
			entry := entries[random.IntN(len(entries))]
			all.Go(func() {
				c := &timed{}
				refusal := entry.Serve(t.Context(), x, c)
				mu.Lock()
				defer mu.Unlock()
				if after != "" {
					h.returned++
					if refusal == nil {
						h.returnedServed++
					}
					return
				}
				h.fresh++
				if refusal == nil && c.firstAt().Sub(x.Received) <= 900*time.Millisecond {
					h.freshInTarget++
				}
			})
		}
		for n := range herdSize {
			send(n, fmt.Sprint(1+random.IntN(40)))
			time.Sleep(herdWithin / herdSize)
		}
		for n := range usualCount {
			send(herdSize+n, "")
			time.Sleep(time.Duration(random.ExpFloat64() / usualRate * float64(time.Second)))
		}
		all.Wait()
	})
	return h
}

// All entries lose power. A moment later callers whose streams broke come back
// together, each with a prompt that has to be read again. Fresh requests that
// stand behind them at the readers would miss their targets, and the herd's
// answers are late in any case.
func TestFreshRequestsBesideAHerd(t *testing.T) {
	with, without := playHerd(t), playHerd(t, dispatch.ReturnedReadOwn)
	t.Logf("read where they go on: %+v; by readers: %+v", with, without)
	assert.Assert(t, with.freshInTarget > without.freshInTarget)
	assert.Assert(t, with.returnedServed >= without.returnedServed)
}
