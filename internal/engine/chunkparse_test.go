package engine

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// FuzzParseChunk checks that the fast path returns the same as encoding/json.
func FuzzParseChunk(f *testing.F) {
	for _, seed := range []string{
		`{"attempt_id":"0af1","incarnation":4,"offset":0,"tokens":1,"text":"cotton "}`,
		`{"attempt_id":"0af1","incarnation":4,"offset":10,"tokens":2,"text":"","finish":"stop"}`,
		`{"attempt_id":"","incarnation":0,"offset":0,"tokens":0,"text":""}`,
		`{"attempt_id":"0af1","incarnation":04,"offset":0,"tokens":1,"text":"x"}`,
		`{"attempt_id":"0af1","incarnation":4,"offset":-1,"tokens":1,"text":"x"}`,
		`{"attempt_id":"0af1","incarnation":4,"offset":1e1,"tokens":1,"text":"x"}`,
		`{"attempt_id":"0af1","incarnation":4,"offset":1,"tokens":1,"text":"\u0041\n"}`,
		`{"attempt_id":"0af1","incarnation":4,"offset":1,"tokens":1,"text":"é"}`,
		`{"attempt_id":"0af1","incarnation":4,"offset":1,"tokens":1,"text":"x","text":"y"}`,
		`{"attempt_id":"0af1","incarnation":99999999999999999999,"offset":1,"tokens":1,"text":"x"}`,
		`{"attempt_id":"0af1","incarnation":4,"offset":1,"tokens":1,"text":"x"} `,
		`{"attempt_id":"0af1","incarnation":4,"offset":1,"tokens":1,"text":"x`,
		`{}`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, ok := parseChunk(data, testAttempt)
		if !ok {
			return
		}
		var want engineapi.Chunk
		assert.NilError(t, json.Unmarshal(data, &want))
		assert.Equal(t, got, want)
	})
}

// Plain chunks as encoding/json encodes them must take the fast path: otherwise
// each token would cost ten times as much without any other sign.
func TestPlainChunksTakeTheFastPath(t *testing.T) {
	for _, c := range []engineapi.Chunk{
		{Attempt: testAttempt, Incarnation: 1 << 40, Offset: 4095, Tokens: 1, Text: "cotton offcuts, 3% linen "},
		{Attempt: testAttempt, Incarnation: 4, Offset: 7, Tokens: 0, Finish: engineapi.FinishStop},
		{Attempt: "another", Incarnation: 4, Offset: 7, Tokens: 2, Text: "x", Finish: engineapi.FinishLength},
	} {
		data, err := json.Marshal(c)
		assert.NilError(t, err)
		got, ok := parseChunk(data, testAttempt)
		assert.Assert(t, ok, "%s", data)
		assert.Equal(t, got, c)
	}
}
