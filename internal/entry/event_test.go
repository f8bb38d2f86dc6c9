package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// The events are assembled without encoding/json for speed. Each must decode to
// a callerapi.CompletionReply with the same content, whatever the text.
func TestEventsMatchTheContract(t *testing.T) {
	texts := []string{"", "plain ", "\"quoted\" \\ /", "line\nbreak\ttab\x00", "台灣民謠", "<script>&", "\u2028", "bad\xff utf8"}
	for _, form := range []completionFormat{formatChat, formatText} {
		w := newEventWriter(replyFields{format: form, id: "r-1", created: 7, model: `fi"bre`})
		for _, text := range texts {
			for _, finish := range []engineapi.Finish{engineapi.FinishNone, engineapi.FinishStop} {
				got := decodeEvent(t, w.chunk(engineapi.Chunk{Text: text, Finish: finish}))
				assert.Equal(t, got.ID, "r-1")
				assert.Equal(t, got.Model, `fi"bre`)
				assert.Equal(t, got.Created, int64(7))
				assert.Equal(t, textOf(got), strings.ToValidUTF8(text, "\ufffd"))
				assert.Equal(t, got.Choices[0].FinishReason == nil, finish == engineapi.FinishNone)
			}
		}
	}
}

func decodeEvent(t *testing.T, event []byte) callerapi.CompletionReply {
	t.Helper()
	data, ok := strings.CutPrefix(string(event), eventStart)
	assert.Assert(t, ok)
	data, ok = strings.CutSuffix(data, eventEnd)
	assert.Assert(t, ok && !strings.Contains(data, "\n"), data)
	var out callerapi.CompletionReply
	assert.NilError(t, json.Unmarshal([]byte(data), &out), data)
	return out
}

func textOf(r callerapi.CompletionReply) string {
	if r.Choices[0].Delta != nil {
		return r.Choices[0].Delta.Content
	}
	return r.Choices[0].Text
}

func FuzzEventText(f *testing.F) {
	f.Add("plain ")
	f.Add("\"\\\n")
	f.Fuzz(func(t *testing.T, text string) {
		w := newEventWriter(replyFields{format: formatChat, id: "r", model: "m"})
		got := textOf(decodeEvent(t, w.chunk(engineapi.Chunk{Text: text})))
		if utf8.ValidString(text) {
			assert.Equal(t, got, text)
		}
	})
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"model":"fibre","messages":[{"role":"user","content":"a"}],"max_tokens":1,"stream":true}`))
	f.Add([]byte(`{"model":"fibre","prompt":"a","max_tokens":-1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []func([]byte) (decodedRequest, bool){
			func(b []byte) (decodedRequest, bool) { a, failure := decodeChat(b); return a, failure == nil },
			func(b []byte) (decodedRequest, bool) { a, failure := decodeCompletion(b); return a, failure == nil },
		} {
			a, ok := decode(body)
			assert.Assert(t, !ok || (a.model != "" && a.prompt != "" && a.maxTokens >= 0))
		}
	})
}

func FuzzServicePath(f *testing.F) {
	f.Add("slips/7")
	f.Add("%2e%2e/x")
	f.Add("a//b")
	f.Fuzz(func(t *testing.T, rest string) {
		below, ok := servicePath(rest)
		if !ok {
			return
		}
		assert.Assert(t, strings.HasPrefix(below, "/"))
		for _, part := range strings.Split(below, "/") {
			assert.Assert(t, part != ".." && part != ".", below)
		}
	})
}

// Headers with which a caller could pose as a daemon, hop-by-hop headers and the
// team's key don't reach an endpoint.
func TestCopyHeader(t *testing.T) {
	from := map[string][]string{
		"Authorization": {"Bearer k"}, "Idempotency-Key": {"k"}, "Hyssopsail-Owner": {"e1/1"}, "Hyssopsail-Attempt": {"a"},
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Upgrade": {"h2c"}, "Accept": {"*/*"}, "X-Trace": {"1", "2"},
	}
	to := map[string][]string{}
	copyHeader(to, from)
	assert.DeepEqual(t, to, map[string][]string{"Accept": {"*/*"}, "X-Trace": {"1", "2"}})
}

func BenchmarkEvent(b *testing.B) {
	w := newEventWriter(replyFields{format: formatChat, id: "r-0123456789", created: 7, model: "fibre"})
	c := engineapi.Chunk{Text: "cotton ", Tokens: 1}
	b.ReportAllocs()
	for b.Loop() {
		w.chunk(c)
	}
}
