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

// randomFaults returns random faults that don't end the process.
func randomFaults(random *rand.Rand) standin.Faults {
	chunks := []standin.ChunkFault{"", standin.ChunkWrongAttempt, standin.ChunkEarlierIncarnation, standin.ChunkMissingTokens, standin.ChunkRepeatedToken, standin.ChunkTruncated}
	return standin.Faults{
		ChunkFault:     chunks[random.IntN(len(chunks))],
		IgnoreCancels:  random.IntN(3),
		StallTransfers: random.IntN(4) == 0,
		Freeze:         random.IntN(6) == 0,
	}
}

// runRequest runs one request that is abandoned after timeout, then cancels it at
// both engines. It reports whether the answer was complete.
func runRequest(f *flow, timeout time.Duration) (complete bool, err error) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
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
	text, _, err := readStream(stream)
	expected := standin.ExpectedText(f.prompt, f.maxTokens)
	if !strings.HasPrefix(expected, text) {
		return false, fmt.Errorf("%q is no prefix of the answer to %q", text, f.prompt)
	}
	if err == nil && text != expected {
		return false, fmt.Errorf("answer to %q was truncated without an error", f.prompt)
	}
	return err == nil, nil
}

// Many callers share two engines while faults are injected: chunks of other
// requests, repeated, missing and truncated chunks, lost cancels, stalled
// transfers, freezes, and callers that disconnect. No caller may get wrong text, no
// truncated answer may look complete, and at the end no engine may hold memory.
func TestMixedFaults(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill, Slots: 64})
	d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Slots: 64})
	client := engine.NewClient(engine.Options{StreamIdleTimeout: 200 * time.Millisecond})
	var callers sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	for n := range 200 {
		if n%4 == 0 {
			p.SetFaults(randomFaults(random))
			d.SetFaults(randomFaults(random))
		}
		f := newFlow(p, d, fmt.Sprintf("[[id=%d]] %d", n, random.Uint64()))
		f.client = client
		if n%10 == 5 {
			f.prompt += "[[tokens=100000]]" // too long to finish unless it is cancelled
			f.maxTokens = 100_000
		}
		timeout := time.Duration(random.IntN(1500)) * time.Millisecond
		callers.Go(func() {
			complete, err := runRequest(f, timeout)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			if complete {
				completed++
			}
		})
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
	p.SetFaults(standin.Faults{})
	d.SetFaults(standin.Faults{})
	callers.Wait()
	eventually(t, "prefill engine free", holdsNothing(p))
	eventually(t, "decode engine free", holdsNothing(d))
	assert.Assert(t, completed > 0)
	t.Logf("%d of 200 answers were complete", completed)
}
