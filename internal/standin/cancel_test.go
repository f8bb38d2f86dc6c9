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

// reachFunc brings a request to a stage, and gives the error of the step that
// waits there, nil when none does.
type reachFunc func(t *testing.T, f *flow, p, d *standin.Standin) <-chan error

func prefillRuns(t *testing.T, f *flow, p, _ *standin.Standin) <-chan error {
	done := f.inBackground((*flow).runPrefill)
	eventually(t, "prefill runs", func() bool { return len(p.Held()) == 1 })
	return done
}

func prefillExported(t *testing.T, f *flow, _, _ *standin.Standin) <-chan error {
	assert.NilError(t, f.runPrefill(t.Context()))
	return nil
}

func transferStalls(t *testing.T, f *flow, p, d *standin.Standin) <-chan error {
	assert.NilError(t, f.runPrefill(t.Context()))
	p.SetFaults(standin.Faults{StallTransfers: true})
	done := f.inBackground((*flow).runImport)
	eventually(t, "transfer runs", func() bool { return len(d.Held()) == 1 })
	return done
}

func streamBegins(t *testing.T, f *flow, _, _ *standin.Standin) <-chan error {
	f.most = 100_000
	stream := f.toStream(t, 0)
	_, err := stream.Next()
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	return nil
}

// A caller goes away at each stage of its request. Its memory must be free
// after the cancel, what still waits must end, and work of the same attempt
// that comes late must be refused, or it would hold memory for nobody.
func TestCancelAtEachStage(t *testing.T) {
	slow := quick()
	slow.PrefillBase = 1 << 40
	for _, test := range []struct {
		stage engineapi.Stage
		reach reachFunc
		pre   standin.Timing
	}{
		{engineapi.StagePrefill, prefillRuns, slow},
		{engineapi.StageExported, prefillExported, quick()},
		{engineapi.StageImported, transferStalls, quick()},
		{engineapi.StageDecode, streamBegins, quick()},
	} {
		t.Run(string(test.stage), func(t *testing.T) { cancelAt(t, test.stage, test.reach, test.pre) })
	}
}

func cancelAt(t *testing.T, stage engineapi.Stage, reach reachFunc, timing standin.Timing) {
	patient := quick()
	patient.TransferBound = time.Hour
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill, Timing: timing})
	d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Timing: patient})
	f := newFlow(p, d, "[[tokens=100000]]"+strings.Repeat("x", 4000))
	waiting := reach(t, f, p, d)
	// The decode engine first: otherwise its transfer may break at the other
	// end before its own cancel comes.
	f.client.Cancel(f.decode, f.attempt)
	eventually(t, "decode engine free", empty(d))
	if stage == engineapi.StageImported {
		assert.Equal(t, codeOf(<-waiting), engineapi.CodeStale)
	}
	f.client.Cancel(f.prefill, f.attempt)
	eventually(t, "prefill engine free", empty(p))
	if stage == engineapi.StagePrefill {
		assert.Equal(t, codeOf(<-waiting), engineapi.CodeStale)
	}
	eventually(t, "late prefill refused", func() bool { return codeOf(f.runPrefill(t.Context())) == engineapi.CodeStale })
	eventually(t, "late import refused", func() bool { return codeOf(f.runImport(t.Context())) == engineapi.CodeStale })
}

// An engine loses a cancel: the connection ends without an answer and nothing
// is freed. The caller is gone, so nobody asks again but the client itself.
func TestLostCancelIsRetried(t *testing.T) {
	p, d := pair(t)
	f := newFlow(p, d, "lost cancel [[tokens=100000]]")
	f.most = 100_000
	stream := f.toStream(t, 0)
	d.SetFaults(standin.Faults{IgnoreCancels: 2})
	f.client.Cancel(f.decode, f.attempt)
	eventually(t, "decode engine free", empty(d))
	_, finish, err := read(stream)
	assert.NilError(t, err)
	assert.Equal(t, finish, engineapi.FinishCancelled)
	assert.Equal(t, d.Faults().IgnoreCancels, 0)
	assert.Equal(t, d.Audit().Cancelled, 1)
}

// Some engines free a request by themselves when its connection ends, others
// compute on for nobody.
func TestDisconnectFreesOnlyIfAsked(t *testing.T) {
	for name, frees := range map[string]bool{"frees": true, "goes on": false} {
		t.Run(name, func(t *testing.T) {
			p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill})
			d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, FreeOnDisconnect: frees})
			f := newFlow(p, d, "gone [[tokens=100000]]")
			streamBegins(t, f, p, d)
			if frees {
				eventually(t, "memory free", empty(d))
				return
			}
			before := d.Audit().Tokens
			eventually(t, "tokens go on", func() bool { return d.Audit().Tokens > before+50 })
			assert.Equal(t, len(d.Held()), 1)
		})
	}
}
