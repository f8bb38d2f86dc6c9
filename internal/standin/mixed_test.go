package standin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// randomFaults gives one or two faults that leave the process alive.
func randomFaults(random *rand.Rand) standin.Faults {
	chunks := []standin.ChunkFault{"", standin.ChunkCrossed, standin.ChunkStale, standin.ChunkGap, standin.ChunkRepeat, standin.ChunkCut}
	return standin.Faults{
		ChunkFault:     chunks[random.IntN(len(chunks))],
		IgnoreCancels:  random.IntN(3),
		StallTransfers: random.IntN(4) == 0,
		Freeze:         random.IntN(6) == 0,
	}
}

// attempt runs one request with a caller who may leave at any moment, and
// frees whatever it may hold. It tells whether the answer was whole.
func attempt(f *flow, patience time.Duration) (whole bool, err error) {
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	defer f.client.Cancel(f.prefill, f.attempt)
	defer f.client.Cancel(f.decode, f.attempt)
	if f.runPrefill(ctx) != nil || f.runImport(ctx) != nil {
		return false, nil
	}
	stream, err := f.open(ctx, 0)
	if err != nil {
		return false, nil
	}
	defer stream.Close()
	text, _, err := read(stream)
	expected := standin.ExpectedText(f.prompt, f.most)
	if !strings.HasPrefix(expected, text) {
		return false, fmt.Errorf("%q is no beginning of the answer to %q", text, f.prompt)
	}
	if err == nil && text != expected {
		return false, fmt.Errorf("%q was cut without an error", f.prompt)
	}
	return err == nil, nil
}

// Many callers share two engines while faults come and go: crossed, repeated,
// missing and cut chunks, lost cancels, stalled transfers, freezes, callers
// who leave. No caller may get a wrong word, no cut answer may look whole, and
// at the end no engine holds memory.
func TestMixedFaults(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill, Slots: 64})
	d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Slots: 64})
	client := engine.NewClient(engine.Options{StreamIdleTimeout: 200 * time.Millisecond})
	var callers sync.WaitGroup
	var mu sync.Mutex
	wholes := 0
	for n := range 200 {
		if n%4 == 0 {
			p.SetFaults(randomFaults(random))
			d.SetFaults(randomFaults(random))
		}
		f := newFlow(p, d, fmt.Sprintf("[[id=%d]] %d", n, random.Uint64()))
		f.client = client
		if n%10 == 5 {
			f.prompt += "[[tokens=100000]]" // only a cancel ends it in time
			f.most = 100_000
		}
		patience := time.Duration(random.IntN(1500)) * time.Millisecond
		callers.Go(func() {
			whole, err := attempt(f, patience)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			if whole {
				wholes++
			}
		})
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
	p.SetFaults(standin.Faults{})
	d.SetFaults(standin.Faults{})
	callers.Wait()
	eventually(t, "prefill engine free", empty(p))
	eventually(t, "decode engine free", empty(d))
	assert.Assert(t, wholes > 0)
	t.Logf("%d of 200 answers were whole", wholes)
}
