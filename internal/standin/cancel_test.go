package standin_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// stageFunc brings a request to a stage. It returns a channel with the error of
// the call that blocks there; nil if none does.
type stageFunc func(t *testing.T, f *flow, p, d *standin.Standin) <-chan error

func runningPrefill(t *testing.T, f *flow, p, _ *standin.Standin) <-chan error {
	done := f.inBackground((*flow).runPrefill)
	eventually(t, "prefill runs", func() bool { return len(p.Held()) == 1 })
	return done
}

func exportedPrefill(t *testing.T, f *flow, _, _ *standin.Standin) <-chan error {
	assert.NilError(t, f.runPrefill(t.Context()))
	return nil
}

func stalledTransfer(t *testing.T, f *flow, p, d *standin.Standin) <-chan error {
	assert.NilError(t, f.runPrefill(t.Context()))
	p.SetFaults(standin.Faults{StallTransfers: true})
	done := f.inBackground((*flow).runImport)
	eventually(t, "transfer runs", func() bool { return len(d.Held()) == 1 })
	return done
}

func startedStream(t *testing.T, f *flow, _, _ *standin.Standin) <-chan error {
	f.maxTokens = 100_000
	stream := f.toStream(t, 0)
	_, err := stream.Next()
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	return nil
}

// A request is cancelled at each of its stages. Its memory must be freed, calls that
// still block must end, and later work of the same attempt must be refused, or it
// would hold memory that is never freed.
func TestCancelAtEachStage(t *testing.T) {
	slow := fastTiming()
	slow.PrefillBase = 1 << 40
	for _, test := range []struct {
		stage engineapi.Stage
		reach stageFunc
		pre   standin.Timing
	}{
		{engineapi.StagePrefill, runningPrefill, slow},
		{engineapi.StageExported, exportedPrefill, fastTiming()},
		{engineapi.StageImported, stalledTransfer, fastTiming()},
		{engineapi.StageDecode, startedStream, fastTiming()},
	} {
		t.Run(string(test.stage), func(t *testing.T) { cancelAt(t, test.stage, test.reach, test.pre) })
	}
}

func cancelAt(t *testing.T, stage engineapi.Stage, reach stageFunc, timing standin.Timing) {
	slowTransfer := fastTiming()
	slowTransfer.TransferTimeout = time.Hour
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill, Timing: timing})
	d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Timing: slowTransfer})
	f := newFlow(p, d, "[[tokens=100000]]"+strings.Repeat("x", 4000))
	waiting := reach(t, f, p, d)
	// The decode engine first: otherwise the transfer may fail at the prefill
	// engine before the decode engine's own cancel arrives.
	f.client.Cancel(f.decode, f.attempt)
	eventually(t, "decode engine free", holdsNothing(d))
	if stage == engineapi.StageImported {
		assert.Equal(t, codeOf(<-waiting), engineapi.CodeStale)
	}
	f.client.Cancel(f.prefill, f.attempt)
	eventually(t, "prefill engine free", holdsNothing(p))
	if stage == engineapi.StagePrefill {
		assert.Equal(t, codeOf(<-waiting), engineapi.CodeStale)
	}
	eventually(t, "late prefill refused", func() bool { return codeOf(f.runPrefill(t.Context())) == engineapi.CodeStale })
	eventually(t, "late import refused", func() bool { return codeOf(f.runImport(t.Context())) == engineapi.CodeStale })
}

// An engine loses a cancel: it closes the connection without an answer and frees
// nothing. As the caller has disconnected, only the client can retry.
func TestLostCancelIsRetried(t *testing.T) {
	p, d := pair(t)
	f := newFlow(p, d, "lost cancel [[tokens=100000]]")
	f.maxTokens = 100_000
	stream := f.toStream(t, 0)
	d.SetFaults(standin.Faults{IgnoreCancels: 2})
	f.client.Cancel(f.decode, f.attempt)
	eventually(t, "decode engine free", holdsNothing(d))
	_, finish, err := readStream(stream)
	assert.NilError(t, err)
	assert.Equal(t, finish, engineapi.FinishCancelled)
	assert.Equal(t, d.Faults().IgnoreCancels, 0)
	assert.Equal(t, d.Audit().Cancelled, 1)
}

// Some engines free a request when its connection ends; others go on generating.
func TestDisconnectFreesOnlyIfConfigured(t *testing.T) {
	for name, frees := range map[string]bool{"frees": true, "goes on": false} {
		t.Run(name, func(t *testing.T) {
			p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill})
			d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, FreeOnDisconnect: frees})
			f := newFlow(p, d, "gone [[tokens=100000]]")
			startedStream(t, f, p, d)
			if frees {
				eventually(t, "memory free", holdsNothing(d))
				return
			}
			before := d.Audit().Tokens
			eventually(t, "tokens go on", func() bool { return d.Audit().Tokens > before+50 })
			assert.Equal(t, len(d.Held()), 1)
		})
	}
}
