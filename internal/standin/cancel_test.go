package standin_test

import (
	"strings"
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
	"gotest.tools/v3/assert"
)

// A caller goes away at each stage of its request. Its memory must be free
// after the cancel, what still waits must end, and work of the same attempt
// that comes late must be refused, or it would hold memory for nobody.
func TestCancelAtEachStage(t *testing.T) {
	slow := quick()
	slow.PrefillBase = 1 << 40
	patient := quick()
	patient.TransferBound = time.Hour
	long := "[[tokens=100000]]"
	for _, test := range []struct {
		stage engineapi.Stage
		reach func(t *testing.T, f *flow, p, d *standin.Standin) <-chan error
		pre   standin.Timing
	}{
		{engineapi.StagePrefill, func(t *testing.T, f *flow, p, _ *standin.Standin) <-chan error {
			done := f.inBackground((*flow).runPrefill)
			eventually(t, "prefill runs", func() bool { return len(p.Held()) == 1 })
			return done
		}, slow},
		{engineapi.StageExported, func(t *testing.T, f *flow, _, _ *standin.Standin) <-chan error {
			assert.NilError(t, f.runPrefill(t.Context()))
			return nil
		}, quick()},
		{engineapi.StageImported, func(t *testing.T, f *flow, p, d *standin.Standin) <-chan error {
			assert.NilError(t, f.runPrefill(t.Context()))
			p.SetFaults(standin.Faults{StallTransfers: true})
			done := f.inBackground((*flow).runImport)
			eventually(t, "transfer runs", func() bool { return len(d.Held()) == 1 })
			return done
		}, quick()},
		{engineapi.StageDecode, func(t *testing.T, f *flow, _, d *standin.Standin) <-chan error {
			f.most = 100_000
			f.toDecode(t)
			stream, err := f.open(t.Context(), 0)
			assert.NilError(t, err)
			_, err = stream.Next()
			assert.NilError(t, err)
			assert.NilError(t, stream.Close())
			return nil
		}, quick()},
	} {
		t.Run(string(test.stage), func(t *testing.T) {
			p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill, Timing: test.pre})
			d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Timing: patient})
			f := newFlow(p, d, long+strings.Repeat("x", 4000))
			waiting := test.reach(t, f, p, d)
			// The decode engine first: otherwise its transfer may break at the
			// other end before its own cancel comes.
			f.client.Cancel(f.decode, f.attempt)
			eventually(t, "decode engine free", empty(d))
			if test.stage == engineapi.StageImported {
				assert.Equal(t, codeOf(<-waiting), engineapi.CodeStale)
			}
			f.client.Cancel(f.prefill, f.attempt)
			eventually(t, "prefill engine free", empty(p))
			if test.stage == engineapi.StagePrefill {
				assert.Equal(t, codeOf(<-waiting), engineapi.CodeStale)
			}
			eventually(t, "late prefill refused", func() bool {
				return codeOf(f.runPrefill(t.Context())) == engineapi.CodeStale
			})
			eventually(t, "late import refused", func() bool {
				return codeOf(f.runImport(t.Context())) == engineapi.CodeStale
			})
		})
	}
}

// An engine loses a cancel: the connection ends without an answer and nothing
// is freed. The caller is gone, so nobody asks again but the client itself.
func TestLostCancelIsRetried(t *testing.T) {
	p, d := pair(t)
	f := newFlow(p, d, "lost cancel [[tokens=100000]]")
	f.most = 100_000
	f.toDecode(t)
	stream, err := f.open(t.Context(), 0)
	assert.NilError(t, err)
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
			f.most = 100_000
			f.toDecode(t)
			stream, err := f.open(t.Context(), 0)
			assert.NilError(t, err)
			_, err = stream.Next()
			assert.NilError(t, err)
			assert.NilError(t, stream.Close())
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
