package route_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// fastEngine decodes without waiting and holds nothing, so that the benchmark measures
// the relay only.
type fastEngine struct {
	engines
	text string // of each token
}

func (f fastEngine) Decode(_ context.Context, t engine.Target, gate engine.Gate, r engineapi.DecodeRequest) (engine.Stream, error) {
	if err := gate(t); err != nil {
		return nil, err
	}
	return &fastStream{attempt: r, at: r.Offset, incarnation: t, text: f.text}, nil
}

func (f fastEngine) Prefill(_ context.Context, t engine.Target, gate engine.Gate, r engineapi.PrefillRequest) (engineapi.PrefillReply, error) {
	return engineapi.PrefillReply{Attempt: r.Attempt, Incarnation: t.Incarnation, PromptTokens: 5, ExpiresMs: 800}, gate(t)
}

type fastStream struct {
	attempt     engineapi.DecodeRequest
	incarnation engine.Target
	at          int
	text        string
}

func (s *fastStream) Next() (engineapi.Chunk, error) {
	c := engineapi.Chunk{Attempt: s.attempt.Attempt, Incarnation: s.incarnation.Incarnation, Offset: s.at, Tokens: 1, Text: s.text}
	s.at++
	if s.at == s.attempt.MaxTokens {
		c.Finish = engineapi.FinishLength
	}
	return c, nil
}

func (s *fastStream) Close() error { return nil }

type discard struct{}

func (discard) WriteChunk(engineapi.Chunk) error { return nil }

const benchTokens = 2000

// BenchmarkRelay measures the router's cost per token, without HTTP.
func BenchmarkRelay(b *testing.B) {
	w := newFakeFleet()
	r := w.routerWith(fastEngine{engines{w}, "cotton "}, route.Bounds{})
	request := modelRequest()
	request.MaxTokens = benchTokens
	b.ReportAllocs()
	for b.Loop() {
		request.Arrived = time.Now()
		if a := r.Complete(b.Context(), request, discard{}); a.Failure != nil {
			b.Fatal(a.Failure)
		}
		w.clearRecords()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
}

// BenchmarkRequest measures the router's cost of a request with one token.
func BenchmarkRequest(b *testing.B) {
	for _, key := range []string{"", "k"} {
		b.Run("key="+key, func(b *testing.B) {
			w := newFakeFleet()
			r := w.routerWith(fastEngine{engines{w}, "cotton "}, route.Bounds{})
			request := modelRequest()
			request.MaxTokens = 1
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				request.Arrived = time.Now()
				if key != "" {
					request.Key = strconv.Itoa(n)
				}
				if a := r.Complete(b.Context(), request, discard{}); a.Failure != nil {
					b.Fatal(a.Failure)
				}
				w.clearRecords()
			}
		})
	}
}

// BenchmarkStreamHTTP measures the cost per token from the fake engine to a caller over
// loopback, including the caller's side.
func BenchmarkStreamHTTP(b *testing.B) {
	w := newFakeFleet()
	server := serveRouter(b, w, w.routerWith(fastEngine{engines{w}, "cotton "}, route.Bounds{}))
	body := `{"model":"fibre","messages":[{"role":"user","content":"Assess."}],"max_tokens":2000,"stream":true}`
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequestWithContext(b.Context(), "POST", server.URL+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+teamKey)
		response, err := server.Client().Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if n, _ := io.Copy(io.Discard, response.Body); n < benchTokens {
			b.Fatal("short stream")
		}
		_ = response.Body.Close()
		w.clearRecords()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
}
