package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func TestPredictor(t *testing.T) {
	p := NewPredictor(rand.New(rand.NewPCG(1, 1)))
	decode := FinishedWork{Team: "sorters", Model: "m@1", Kind: fleet.RoleDecode}
	assert.Equal(t, p.Remaining(decode, 50, 0, 0.5), 50*defaultTokenTime, "nothing learned: the allowed length")
	for n := range 40 {
		f := decode
		f.OutputTokens = 100 + n%2*200 // half 100 tokens, half 300
		f.Busy = time.Duration(f.OutputTokens) * 10 * time.Millisecond
		p.Observe(f)
	}
	assert.Equal(t, p.TokenTime("m@1"), 10*time.Millisecond)
	assert.Equal(t, p.Remaining(decode, 0, 0, 0.5), time.Second)
	assert.Equal(t, p.Remaining(decode, 0, 1500*time.Millisecond, 0.5), 1500*time.Millisecond, "longer than 100 tokens: expected to be 300")
	assert.Equal(t, p.Remaining(decode, 0, 4*time.Second, 0.5), 4*time.Second, "longer than any: as long again")
	other := decode
	other.Team = "archive"
	assert.Equal(t, p.Remaining(other, 0, 0, 0.5), time.Second, "a new team begins with the model's lengths")
	p.Observe(FinishedWork{Team: "x", Model: "m@1", Kind: fleet.RoleDecode, OutputTokens: 0, Busy: time.Hour})
	p.Observe(FinishedWork{Team: "x", Model: "m@1", Kind: fleet.RoleDecode, OutputTokens: 5, Busy: -1})
	assert.Equal(t, p.TokenTime("m@1"), 10*time.Millisecond, "invalid values aren't learned")
}

func TestPredictorIsBoundedAndSeeded(t *testing.T) {
	run := func(seed uint64) time.Duration {
		p := NewPredictor(rand.New(rand.NewPCG(seed, 1)))
		for n := range 5 * maxPredictorKeys {
			p.Observe(FinishedWork{Team: fleet.Team(string(rune('a' + n%26))), Model: "m@1", Kind: fleet.RolePrefill, Busy: time.Duration(n+1) * time.Millisecond})
		}
		for n := range 2 * maxPredictorKeys {
			p.Observe(FinishedWork{Team: fleet.Team(time.Duration(n).String()), Model: "m@1", Kind: fleet.RolePrefill, Busy: time.Second})
		}
		assert.Assert(t, len(p.busyMs) <= maxPredictorKeys)
		for _, s := range p.busyMs {
			assert.Assert(t, len(s.sorted) <= sampleSize)
		}
		return p.Remaining(FinishedWork{Team: "b", Model: "m@1", Kind: fleet.RolePrefill}, 0, 0, 0.5)
	}
	assert.Equal(t, run(4), run(4))
}
