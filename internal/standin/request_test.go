package standin_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

func TestWholeRequest(t *testing.T) {
	p, d := pair(t)
	f := newFlow(p, d, "[[id=one]] which fibres are in this bale?")
	stream := f.toStream(t, 0)
	text, finish, err := readStream(stream)
	assert.NilError(t, err)
	assert.Equal(t, text, standin.ExpectedText(f.prompt, f.maxTokens))
	assert.Equal(t, finish, engineapi.FinishStop)
	assert.Assert(t, holdsNothing(p)())
	assert.Assert(t, holdsNothing(d)())
	a := p.Audit()
	assert.Equal(t, a.PrefillUsedMs, a.PrefillMs)
	assert.Assert(t, a.PrefillMs > 0)
	assert.Equal(t, a.Attempts[0].Marker, "one")
	tokens, _ := standin.OutputTokens(f.prompt, f.maxTokens)
	assert.Equal(t, d.Audit().Tokens, tokens)
}

func TestOneProcessForBothRoles(t *testing.T) {
	both := start(t, standin.Options{Role: fleet.RoleBoth})
	f := newFlow(both, both, "[[tokens=5]]")
	stream := f.toStream(t, 0)
	text, _, err := readStream(stream)
	assert.NilError(t, err)
	assert.Equal(t, text, standin.ExpectedText(f.prompt, f.maxTokens))
	assert.Equal(t, both.Audit().PrefillUsedMs, both.Audit().PrefillMs)
}

// A decode engine dies after some tokens, and another one continues at the next
// token. The parts together must be the whole answer.
func TestResumeAtOffset(t *testing.T) {
	p, d := pair(t)
	f := newFlow(p, d, "resume me [[tokens=40]]")
	stream := f.toStream(t, 13)
	text, _, err := readStream(stream)
	assert.NilError(t, err)
	assert.Equal(t, standin.ExpectedRange(f.prompt, 0, 13)+text, standin.ExpectedText(f.prompt, f.maxTokens))
}

func TestResumeWithWrongPrefixIsRefused(t *testing.T) {
	p, d := pair(t)
	f := newFlow(p, d, "resume me [[tokens=40]]")
	f.toDecode(t)
	_, err := f.client.Decode(t.Context(), f.decode, allowAll, engineapi.DecodeRequest{
		Work: work(f.decode, f.attempt), Prompt: f.prompt, Offset: 3, Prefix: " not it",
	})
	assert.Equal(t, codeOf(err), engineapi.CodeBadRequest)
}

// An exported KV cache expires before its import. The import must be refused with
// CodeGone, the memory must be freed, and the work must count as discarded.
func TestExportedKVExpires(t *testing.T) {
	timing := fastTiming()
	timing.KVLifetime = 5 * time.Millisecond
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill, Timing: timing})
	d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode})
	f := newFlow(p, d, "late")
	assert.NilError(t, f.runPrefill(t.Context()))
	eventually(t, "KV cache expired", holdsNothing(p))
	assert.Equal(t, codeOf(f.runImport(t.Context())), engineapi.CodeGone)
	assert.Assert(t, holdsNothing(d)())
	a := p.Audit()
	assert.Assert(t, a.PrefillDiscardedMs > 0)
	assert.Equal(t, a.PrefillUsedMs, 0.0)
}

// A link stalls in the middle of a KV transfer and the caller gives the request up.
// After the cancels neither engine may hold its memory.
func TestStalledTransferFreesBothEnds(t *testing.T) {
	p, d := pair(t)
	p.SetFaults(standin.Faults{StallTransfers: true})
	f := newFlow(p, d, strings.Repeat("long prompt ", 1000))
	assert.NilError(t, f.runPrefill(t.Context()))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.runImport(ctx) }()
	eventually(t, "transfer runs", func() bool { return len(d.Held()) == 1 })
	stop()
	assert.ErrorIs(t, <-done, context.Canceled)
	f.client.Cancel(f.prefill, f.attempt)
	f.client.Cancel(f.decode, f.attempt)
	eventually(t, "prefill engine free", holdsNothing(p))
	eventually(t, "decode engine free", holdsNothing(d))
}

// A decode engine's process is replaced by a new one at the same address. The new
// one must refuse work for the old one, and the client must refuse answers of the
// new one to calls that were meant for the old one.
func TestNewIncarnationOnTheSameAddress(t *testing.T) {
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill})
	old, stop := startStoppable(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Incarnation: 1})
	f := newFlow(p, old, "restart")
	f.toDecode(t)
	stop()
	fresh := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Incarnation: 2, Listen: f.decode.Address})
	// The old client may still have a connection to the dead process, and would then
	// only get a connection error.
	f.client = engine.NewClient(engine.Options{})
	_, err := f.open(t.Context(), 0)
	assert.Equal(t, codeOf(err), engineapi.CodeStale)
	_, err = f.client.Held(t.Context(), f.decode)
	assert.ErrorIs(t, err, engine.ErrWrongIncarnation)
	_, err = f.client.Held(t.Context(), target(fresh))
	assert.NilError(t, err)
}

// Each kind of wrong chunk is sent in the middle of a stream. The caller must get a
// correct prefix of its answer and then an error.
func TestWrongChunksEndTheStream(t *testing.T) {
	for fault, want := range map[standin.ChunkFault]error{
		standin.ChunkWrongAttempt:       engine.ErrWrongAttempt,
		standin.ChunkEarlierIncarnation: engine.ErrWrongIncarnation,
		standin.ChunkMissingTokens:      engine.ErrMissingTokens,
		standin.ChunkRepeatedToken:      engine.ErrRepeatedTokens,
		standin.ChunkTruncated:          engine.ErrTruncated,
	} {
		t.Run(string(fault), func(t *testing.T) {
			p, d := pair(t)
			d.SetFaults(standin.Faults{ChunkFault: fault})
			f := newFlow(p, d, "spoilt [[tokens=30]]")
			stream := f.toStream(t, 0)
			text, _, err := readStream(stream)
			assert.ErrorIs(t, err, want)
			assert.Assert(t, text != "")
			assert.Assert(t, strings.HasPrefix(standin.ExpectedText(f.prompt, f.maxTokens), text))
		})
	}
}

func TestSlotAndMemoryLimits(t *testing.T) {
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill})
	for name, o := range map[string]standin.Options{
		"slots":  {ID: "decode", Role: fleet.RoleDecode, Slots: 1},
		"memory": {ID: "decode", Role: fleet.RoleDecode, KVBytes: 1500},
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, o)
			first, second := newFlow(p, d, "abcd"), newFlow(p, d, "abcd")
			first.toDecode(t)
			assert.NilError(t, second.runPrefill(t.Context()))
			assert.Equal(t, codeOf(second.runImport(t.Context())), engineapi.CodeFull)
		})
	}
}

// A request with the crash marker makes the engine that runs it exit.
func TestCrashMarkerEndsTheProcess(t *testing.T) {
	codes := make(chan int, 1)
	p := start(t, standin.Options{
		ID: "prefill", Role: fleet.RolePrefill, CrashMarker: "poison", CrashStage: engineapi.StagePrefill,
		Exit: func(code int) { codes <- code },
	})
	f := newFlow(p, p, "some poison")
	err := f.runPrefill(t.Context())
	assert.Assert(t, err != nil)
	assert.Equal(t, codeOf(err), engineapi.Code(""))
	assert.Equal(t, <-codes, 3)
	assert.Equal(t, len(p.Audit().Attempts), 0)
}

// An engine process is stopped in the middle of a prefill. The client must get an
// error at once, and the audit must show no held request.
func TestKilledProcessHoldsNothing(t *testing.T) {
	timing := fastTiming()
	timing.PrefillBase = time.Hour
	p, stop := startStoppable(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill, Timing: timing})
	f := newFlow(p, p, "killed")
	done := f.inBackground((*flow).runPrefill)
	eventually(t, "prefill runs", func() bool { return len(p.Held()) == 1 })
	stop()
	assert.Assert(t, <-done != nil)
	assert.Equal(t, p.Audit().Held, 0)
	assert.Equal(t, p.Audit().PrefillUsedMs, 0.0)
}
