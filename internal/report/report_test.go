package report

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/load"
)

// interleavedResults returns results of two variants whose figures drift together.
func interleavedResults() []load.Result {
	var out []load.Result
	for pair, good := range []float64{0.80, 0.90, 0.70} {
		out = append(out, result("least-wait", pair, good+0.05), result("round-robin", pair, good))
	}
	return out
}

func result(variant string, pair int, good float64) load.Result {
	return load.Result{
		Experiment: "calm 90", Variant: variant, Pair: pair,
		OfferedShare: 0.9, GoodShare: good, GoodOfPossible: good / 0.9,
		Streams: []load.StreamResult{{
			Name: "notes", Verdicts: map[load.Verdict]int{load.VerdictGood: 90, load.VerdictRefused: 10},
			FirstToken: load.Latency{Count: 90, P50: 300, Curve: []load.Point{{Ms: 100, Share: 0.1}, {Ms: 300, Share: 0.5}}},
			TokenGap:   load.Latency{Count: 900, P50: 20},
		}},
		Audit: &load.AuditResult{WastedShare: 0.02},
	}
}

func TestDifferencesAreTakenPairByPair(t *testing.T) {
	groups := groupsOf(interleavedResults())
	assert.Equal(t, len(groups), 2)
	d := groups[0].differences(groups[1], metrics[1])
	assert.Equal(t, d.count, 3)
	assert.Assert(t, d.lowest > 4.99 && d.highest < 5.01, "%+v", d)
	assert.Equal(t, groups[1].spread(metrics[1]), spread{median: 80, lowest: 70, highest: 90, count: 3})
}

func TestWriteTables(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, WriteTables(&out, interleavedResults(), "round-robin"))
	for _, want := range []string{"calm 90", "least-wait (3)", "least-wait less round-robin", "+5 [+5, +5]", "wasted prefill"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s in\n%s", want, out.String())
	}
}

func TestWritePlots(t *testing.T) {
	for _, form := range []string{"svg", "png"} {
		names, err := WritePlots(t.TempDir(), form, interleavedResults())
		assert.NilError(t, err)
		assert.Equal(t, len(names), 3)
		for _, name := range names {
			info, err := os.Stat(name)
			assert.NilError(t, err)
			assert.Assert(t, info.Size() > 1000)
		}
	}
}

func TestSpread(t *testing.T) {
	assert.Equal(t, spreadOf([]float64{3, 1, 2, 4}), spread{median: 2.5, lowest: 1, highest: 4, count: 4})
	assert.Equal(t, spreadOf(nil).String(), "-")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"experiment":"a","streams":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := decode(body)
		if err == nil {
			_ = WriteTables(&bytes.Buffer{}, []load.Result{r}, "")
		}
	})
}
