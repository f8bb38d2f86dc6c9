package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

const ms = time.Millisecond

const notes = `
name: notes
seed: 1
duration: 400ms
drain: 5s
streams:
- name: notes
  team: sutokatha
  key: k
  model: fibre
  rate: 100
  patience: 20s
  targets: {first_token: 20s, token_gap: 5s} # a slow machine must not turn good into late
  prompt_tokens: [{weight: 1, from: 40, to: 80}]
  output_tokens: [{weight: 1, from: 5, to: 10}]
  keyed: true
  resend: {no_answer: 2, refused: 1, wait: 5ms}
`

func parseExperiment(t *testing.T, text string) Experiment {
	t.Helper()
	e, err := Parse([]byte(text))
	assert.NilError(t, err)
	return e
}

func TestParseRejectsInvalidExperiments(t *testing.T) {
	for _, row := range []struct{ old, new, want string }{
		{"seed: 1", "sead: 1", "field sead not found"},
		{"model: fibre", "", "exactly one of model and service"},
		{"rate: 100", "load: 0.9", "load needs a model and the experiment's capacity"},
		{"from: 40", "from: 90", "prompt_tokens"},
		{"keyed: true", "arrivals: {pattern: bursty, burst: 5, on: 1s, off: 1s}", "burst times on"},
		{"keyed: true", "arrivals: {pattern: tides}", "no arrival pattern"},
		{"name: notes\nseed", "seed", "no name"},
	} {
		_, err := Parse([]byte(strings.Replace(notes, row.old, row.new, 1)))
		assert.ErrorContains(t, err, row.want)
	}
}

func TestArrivalsKeepTheirMeanRate(t *testing.T) {
	for _, a := range []Arrivals{
		{Pattern: PatternPoisson},
		{Pattern: PatternUniform},
		{Pattern: PatternBursty, Burst: 3, On: time.Second, Off: 4 * time.Second},
	} {
		c := arrivalProcess{arrivals: a, rate: 50, random: rand.New(rand.NewPCG(1, 2))}
		for range 100_000 {
			c.next()
		}
		rate := 100_000 / c.last.Seconds()
		assert.Assert(t, rate > 49 && rate < 51, "%s: %f a second", a.Pattern, rate)
	}
}

func TestCapacity(t *testing.T) {
	c := Capacity{
		PrefillEngines: 4, PrefillBase: 100 * ms, PrefillToken: 200 * time.Microsecond,
		DecodeEngines: 8, Slots: 20, StepBase: 10 * ms, StepPerRequest: ms, CacheHits: 0.5,
	}
	s := Stream{
		PromptTokens:  Mix{{Weight: 1, From: 1000, To: 1000}},
		OutputTokens:  Mix{{Weight: 1, From: 50, To: 150}},
		Preamble:      Preamble{Count: 1, Tokens: 1000, Share: 1},
		Model:         "fibre",
		Load:          0.5,
		BodyBytes:     nil,
		NotIdempotent: false,
	}
	assert.Equal(t, c.prefillPerSec(s), 4/0.4)
	assert.Assert(t, c.decodePerSec(s) > 53.3 && c.decodePerSec(s) < 53.4)
	e := Experiment{Capacity: c, Streams: []Stream{s}}
	assert.Equal(t, e.rate(s), 5.0)
	assert.Equal(t, e.offeredShare(), 0.5)
}

// serve runs an entry whose requests are handled by answer.
func serve(t *testing.T, e *Experiment, answer http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	e.Entries = []string{strings.TrimPrefix(server.URL, "http://")}
}

// writeStream writes the text as one event per token, without the last event if cut
// is true.
func writeStream(w http.ResponseWriter, text string, cut bool) {
	for _, word := range strings.SplitAfter(text, " ")[1:] {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n", " "+strings.TrimSpace(word))
	}
	if !cut {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

func decodeRequest(r *http.Request) callerapi.CompletionRequest {
	var c callerapi.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&c)
	return c
}

func expectedAnswer(r *http.Request) string {
	c := decodeRequest(r)
	return standin.ExpectedText(c.Prompt, c.MaxTokens)
}

func writeError(w http.ResponseWriter, status int, e callerapi.Error) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(callerapi.ErrorBody{Error: e})
}

func TestVerdicts(t *testing.T) {
	for _, row := range []struct {
		name   string
		answer http.HandlerFunc
		want   Verdict
	}{
		{"whole and right", func(w http.ResponseWriter, r *http.Request) { writeStream(w, expectedAnswer(r), false) }, VerdictGood},
		{"another request's answer", func(w http.ResponseWriter, r *http.Request) { writeStream(w, expectedAnswer(r)+" more", false) }, VerdictWrong},
		{"a short answer", func(w http.ResponseWriter, r *http.Request) { writeStream(w, " a", false) }, VerdictWrong},
		{"no last event", func(w http.ResponseWriter, r *http.Request) { writeStream(w, expectedAnswer(r), true) }, VerdictCut},
		{"refused for good", func(w http.ResponseWriter, r *http.Request) {
			writeError(w, 503, callerapi.Error{Code: callerapi.CodeOverloaded, Outcome: callerapi.OutcomeNotRun})
		}, VerdictRefused},
		{"unknown", func(w http.ResponseWriter, r *http.Request) {
			writeError(w, 503, callerapi.Error{Code: callerapi.CodeUnknown, Outcome: callerapi.OutcomeUnknown})
		}, VerdictUnknown},
		{"failed at the end", func(w http.ResponseWriter, r *http.Request) {
			writeStream(w, " a", true)
			_, _ = io.WriteString(w, `data: {"error":{"code":"engine-failed","message":"x","outcome":"failed"}}`+"\n\n")
		}, VerdictFailed},
		{"no answer", func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }, VerdictLost},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := parseExperiment(t, notes)
			serve(t, &e, row.answer)
			result, err := Run(context.Background(), e, Options{Expect: standin.ExpectedText})
			assert.NilError(t, err)
			s := result.Streams[0]
			assert.Assert(t, s.Offered > 10)
			assert.DeepEqual(t, s.Verdicts, map[Verdict]int{row.want: s.Offered})
		})
	}
}

// A slow server handles one request at a time. A generator that waited for a response
// before it sent the next request would measure low latencies (coordinated omission).
// Latencies must include the queueing that independent callers would see.
func TestNoCoordinatedOmission(t *testing.T) {
	e := parseExperiment(t, notes)
	turn := make(chan struct{}, 1)
	serve(t, &e, func(w http.ResponseWriter, r *http.Request) {
		turn <- struct{}{}
		time.Sleep(20 * ms) // the service time: the server is offered twice its capacity
		<-turn
		writeStream(w, expectedAnswer(r), false)
	})
	result, err := Run(context.Background(), e, Options{Expect: standin.ExpectedText})
	assert.NilError(t, err)
	s := result.Streams[0]
	queue := float64(s.Offered) * 20
	assert.Assert(t, s.FirstToken.Max > queue/2-100, "max %f ms of a queue of %f ms", s.FirstToken.Max, queue)
	assert.Assert(t, result.Generator.Unfinished == 0)
}

// Every other request is aborted after the entry has received it. The caller repeats
// it with the same key and counts one answer for each request.
func TestRepeatsKeepTheKey(t *testing.T) {
	e := parseExperiment(t, notes)
	var tries atomic.Int64
	serve(t, &e, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get(callerapi.HeaderIdempotencyKey) != "")
		if tries.Add(1)%2 == 1 {
			panic(http.ErrAbortHandler)
		}
		writeStream(w, expectedAnswer(r), false)
	})
	result, err := Run(context.Background(), e, Options{Expect: standin.ExpectedText})
	assert.NilError(t, err)
	s := result.Streams[0]
	assert.Assert(t, s.Repeats > 0)
	assert.Equal(t, s.Offered, s.Verdicts[VerdictGood]+s.Verdicts[VerdictLost])
}

// A non-idempotent call without a key gets no answer. It may have run, so the caller
// must not repeat it: that could run it twice.
func TestNonIdempotentCallIsNotRepeated(t *testing.T) {
	e := parseExperiment(t, `
name: slips
duration: 200ms
streams:
- {name: slips, team: a, key: k, service: bank, rate: 100, not_idempotent: true, resend: {no_answer: 3}}
`)
	var tries atomic.Int64
	serve(t, &e, func(w http.ResponseWriter, r *http.Request) {
		tries.Add(1)
		assert.Check(t, r.Header.Get(callerapi.HeaderIdempotent) == "false")
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	result, err := Run(context.Background(), e, Options{})
	assert.NilError(t, err)
	assert.Equal(t, int(tries.Load()), result.Streams[0].Offered)
	assert.Equal(t, result.Streams[0].Verdicts[VerdictLost], result.Streams[0].Offered)
}

func TestAuditResult(t *testing.T) {
	slips := newTally(&Stream{Name: "slips", Service: "bank", NotIdempotent: true})
	slips.notRun = []string{"r-slips-3"}
	fibre := newTally(&Stream{Name: "notes", Model: "fibre"})
	audits := []endpointAudit{{
		Endpoint: "p",
		Attempts: []auditAttempt{
			{Attempt: "1", Marker: "r-notes-1", Prefills: 1, PrefillMs: 300},
			{Attempt: "2", Marker: "r-notes-2", Prefills: 1, PrefillMs: 100},
			{Attempt: "9", Marker: "other-notes-2", Prefills: 1, PrefillMs: 900},
		},
	}, {
		Endpoint: "d",
		Held:     1,
		Attempts: []auditAttempt{
			{Attempt: "1", Marker: "r-notes-1", Decodes: 1, Finish: "stop"},
			{Attempt: "3", Marker: "r-notes-1", Decodes: 1, Finish: "stop"},
		},
		CallRuns: []auditCall{{"r-slips-1"}, {"r-slips-2"}, {"r-slips-2"}, {"r-slips-3"}},
	}}
	got := auditResult("r", nil, audits, []*tally{slips, fibre})
	assert.Equal(t, got.WastedShare, 0.25)
	assert.Equal(t, got.Doubled, 2)
	assert.Equal(t, got.NotRunButRan, 1)
	assert.Equal(t, got.StillHeld, 1)
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte(`{"choices":[{"index":0,"text":" a","finish_reason":null}]}`))
	f.Add([]byte(`{"error":{"code":"deadline","outcome":"failed"}}`))
	f.Add([]byte("[DONE]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		quick, err := decodeEvent(data)
		full, fullErr := decodeFully(data)
		if err != nil || fullErr != nil || quick.done {
			return
		}
		assert.Equal(t, quick.failed != nil, full.failed != nil)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(notes))
	f.Fuzz(func(t *testing.T, data []byte) { _, _ = Parse(data) })
}

func FuzzDecodeAddresses(f *testing.F) {
	f.Add(`{"addresses":[{"address":"127.0.0.1:1","availability_zone":"howrah"}],"keep_ms":5000}`)
	f.Fuzz(func(t *testing.T, body string) {
		known, err := decodeAddresses(strings.NewReader(body))
		assert.Assert(t, err != nil || len(known.addresses) > 0)
	})
}

func BenchmarkDecodeEvent(b *testing.B) {
	data := []byte(`{"id":"x","object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":" abc","finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = decodeEvent(data)
	}
}
