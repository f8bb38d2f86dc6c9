package engine

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// BenchmarkStream measures the cost of one chunk of one token over a loopback
// connection, one write for each chunk, both sides in this process.
func BenchmarkStream(b *testing.B) {
	target := benchTarget(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", engineapi.EventStreamMediaType)
		control := http.NewResponseController(w)
		for n := range b.N {
			finish := engineapi.FinishNone
			if n == b.N-1 {
				finish = engineapi.FinishStop
			}
			_, _ = io.WriteString(w, event(chunk(n, 1, finish)))
			_ = control.Flush()
		}
	})
	request := decodeRequest()
	request.MaxTokens = 0
	b.ReportAllocs()
	b.ResetTimer()
	stream, err := NewClient(Options{}).Decode(b.Context(), target, allowAll, request)
	for err == nil {
		_, err = stream.Next()
	}
	if !errors.Is(err, io.EOF) {
		b.Fatal(err)
	}
}

// BenchmarkCall measures one plain call over loopback, both sides in this process.
func BenchmarkCall(b *testing.B) {
	target := benchTarget(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	client := NewClient(Options{})
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		response, err := client.Call(b.Context(), target, allowAll, testAttempt, request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

func benchTarget(b *testing.B, handler http.HandlerFunc) Target {
	b.Helper()
	server := httptest.NewServer(handler)
	b.Cleanup(server.Close)
	return targetAt(server.Listener.Addr().String())
}
