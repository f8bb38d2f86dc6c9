package load

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

func engineOf(t *testing.T, role fleet.EndpointRole) *standin.Standin {
	t.Helper()
	s, err := standin.New(standin.Options{
		ID: fleet.EndpointID(role), Role: role, Zone: "howrah", Listen: "127.0.0.1:0", Slots: 200,
		Models: []engineapi.ModelRef{{Model: "fibre", Version: "1"}},
		Timing: standin.Timing{PrefillBase: ms, PrefillPerToken: time.Microsecond, StepBase: ms, StepPerRequest: time.Microsecond},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done == nil)
	})
	<-s.Ready()
	return s
}

// The latency that routing adds is measured against direct calls to engines, which
// must be the same work and be judged in the same way.
func TestDirectModelStreams(t *testing.T) {
	e := parseExperiment(t, notes)
	e.Streams[0].Direct = true
	e.Entries = []string{"127.0.0.1:1"} // not contacted
	_, err := Run(t.Context(), e, Options{})
	assert.ErrorContains(t, err, "no engines are given")
	prefill, decode := engineOf(t, fleet.RolePrefill), engineOf(t, fleet.RoleDecode)
	e.Engines = []string{prefill.Address(), decode.Address()}
	e.Audits = e.Engines
	r, err := Run(t.Context(), e, Options{Expect: standin.ExpectedText})
	assert.NilError(t, err)
	s := r.Streams[0]
	assert.Assert(t, s.Offered > 10)
	assert.Equal(t, s.Verdicts[VerdictGood], s.Offered, "%v %v", s.Verdicts, s.Details)
	assert.Equal(t, int(s.FirstToken.Count), s.Offered)
	assert.Equal(t, r.Audit.WastedPrefillMs, 0.0)
	assert.Equal(t, r.Audit.Doubled, 0)
	e.Engines = e.Engines[:1]
	_, err = Run(t.Context(), e, Options{})
	assert.ErrorContains(t, err, "a prefill and a decode engine")
}
