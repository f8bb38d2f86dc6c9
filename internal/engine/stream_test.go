package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"gotest.tools/v3/assert"
)

func chunk(offset, tokens int, finish engineapi.Finish) engineapi.Chunk {
	return engineapi.Chunk{
		Attempt: testAttempt, Incarnation: testIncarnation, Offset: offset, Tokens: tokens,
		Text: strings.Repeat("a", tokens), Finish: finish,
	}
}

func event(c engineapi.Chunk) string {
	line, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return "data: " + string(line) + "\n\n"
}

// streamOf serves body as a decode stream.
func streamOf(t *testing.T, body string) Target {
	t.Helper()
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", engineapi.EventStreamMediaType)
		_, _ = io.WriteString(w, body)
	})
}

func readAll(s Stream) (text string, err error) {
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += c.Text
	}
}

// An endpoint sends a chunk that belongs to another request, has missing or
// repeated tokens, or can't be parsed. The caller must get the chunks before it,
// then an error, and nothing that follows.
func TestStreamChecks(t *testing.T) {
	crossed, stale := chunk(2, 1, ""), chunk(2, 1, "")
	crossed.Attempt = "0bad"
	stale.Incarnation--
	unknown := chunk(2, 1, "whatever")
	empty := chunk(2, 0, "")
	textOnly := engineapi.Chunk{Attempt: testAttempt, Incarnation: testIncarnation, Offset: 2, Text: "a"}
	end := event(chunk(3, 1, engineapi.FinishStop))
	for _, test := range []struct {
		name, body string
		want       error
	}{
		{"crossed", event(crossed) + end, ErrWrongAttempt},
		{"earlier incarnation", event(stale) + end, ErrWrongIncarnation},
		{"missing", event(chunk(3, 1, "")) + end, ErrMissingTokens},
		{"repeated", event(chunk(1, 1, "")) + end, ErrRepeatedTokens},
		{"negative offset", event(chunk(-1, 1, "")) + end, ErrRepeatedTokens},
		{"negative tokens", strings.Replace(event(chunk(2, 1, "")), `"tokens":1`, `"tokens":-1`, 1) + end, ErrMalformed},
		{"no tokens", event(empty) + end, ErrMalformed},
		{"text without tokens", event(textOnly) + end, ErrMalformed},
		{"unknown finish", event(unknown) + end, ErrMalformed},
		{"more than asked for", event(chunk(2, 9, "")) + end, ErrOversized},
		{"overflowing count", event(engineapi.Chunk{Attempt: testAttempt, Incarnation: testIncarnation, Offset: 2, Tokens: 1 << 62}) + end, ErrOversized},
		{"end without last chunk", "", ErrTruncated},
		{"cut inside a chunk", `data: {"attempt_id":"0a`, ErrTruncated},
		{"cut before the line's end", strings.TrimRight(event(chunk(2, 1, engineapi.FinishStop)), "\n"), ErrTruncated},
		{"not JSON", "data: [DONE]\n\n" + end, ErrMalformed},
		{"not an event", "<html>\n" + end, ErrMalformed},
		{"line too long", "data: " + strings.Repeat(" ", 9000) + "\n" + end, ErrOversized},
		{"line without end", "data: " + strings.Repeat("x", 100_000), ErrOversized},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := streamOf(t, event(chunk(0, 2, ""))+test.body)
			client := NewClient(Options{MaxLineBytes: 8000})
			stream, err := client.Decode(t.Context(), target, allowAll, decodeRequest())
			assert.NilError(t, err)
			defer stream.Close()
			text, err := readAll(stream)
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, text, "aa")
			var failure *Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Target.ID, target.ID)
			_, again := stream.Next()
			assert.ErrorIs(t, again, test.want)
		})
	}
}

func TestLineLimitBelowBufferSize(t *testing.T) {
	client := NewClient(Options{MaxLineBytes: 50})
	stream, err := client.Decode(t.Context(), streamOf(t, event(chunk(0, 2, ""))), allowAll, decodeRequest())
	assert.NilError(t, err)
	_, err = stream.Next()
	assert.ErrorIs(t, err, ErrOversized)
}

func TestStreamIgnoresOtherLines(t *testing.T) {
	body := ": keepalive\n\nevent: chunk\nid: 1\nretry: 5\n" + event(chunk(0, 2, "")) + "\r\n" +
		event(chunk(2, 1, engineapi.FinishLength)) + "data: nothing is read after the end\n"
	stream, err := NewClient(Options{}).Decode(t.Context(), streamOf(t, body), allowAll, decodeRequest())
	assert.NilError(t, err)
	text, err := readAll(stream)
	assert.NilError(t, err)
	assert.Equal(t, text, "aaa")
}

// A complete stream leaves its connection for reuse, although its caller cancels
// the context at once.
func TestWholeStreamsShareAConnection(t *testing.T) {
	addresses := &requestLog{}
	last := make(chan struct{})
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		addresses.add(r.RemoteAddr)
		w.Header().Set("Content-Type", engineapi.EventStreamMediaType)
		_, _ = io.WriteString(w, event(chunk(0, 1, engineapi.FinishStop)))
		_ = http.NewResponseController(w).Flush()
		<-last // the body ends after the last chunk has been read
	})
	client := NewClient(Options{})
	for range 3 {
		ctx, stop := context.WithCancel(t.Context())
		stream, err := client.Decode(ctx, target, allowAll, decodeRequest())
		assert.NilError(t, err)
		_, err = readAll(stream)
		assert.NilError(t, err)
		stream.Close()
		stop()
		last <- struct{}{}
		for deadline := time.Now().Add(5 * time.Second); client.openStreams() > 0; {
			assert.Assert(t, time.Now().Before(deadline))
			time.Sleep(time.Millisecond)
		}
	}
	assert.Equal(t, addresses.lines[0], addresses.lines[1])
	assert.Equal(t, addresses.lines[0], addresses.lines[2])
}

func TestStreamContinuesAtItsOffset(t *testing.T) {
	r := decodeRequest()
	r.Offset = 4
	body := event(chunk(4, 3, engineapi.FinishStop))
	stream, err := NewClient(Options{}).Decode(t.Context(), streamOf(t, body), allowAll, r)
	assert.NilError(t, err)
	text, err := readAll(stream)
	assert.NilError(t, err)
	assert.Equal(t, text, "aaa")
}

func TestOtherContentTypeIsRefused(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, event(chunk(0, 1, engineapi.FinishStop)))
	})
	_, err := NewClient(Options{}).Decode(t.Context(), target, allowAll, decodeRequest())
	assert.ErrorIs(t, err, ErrMalformed)
}

// An engine sends no more chunks in the middle of a stream, but goes on sending
// comments. The caller must not wait for ever.
func TestIdleStreamTimesOut(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", engineapi.EventStreamMediaType)
		_, _ = io.WriteString(w, event(chunk(0, 1, "")))
		control := http.NewResponseController(w)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ": keepalive\n")
			_ = control.Flush()
			time.Sleep(time.Millisecond)
		}
	})
	client := NewClient(Options{StreamIdleTimeout: 30 * time.Millisecond})
	stream, err := client.Decode(t.Context(), target, allowAll, decodeRequest())
	assert.NilError(t, err)
	text, err := readAll(stream)
	assert.ErrorIs(t, err, ErrIdleTimeout)
	assert.Equal(t, text, "a")
}

func TestStreamEndsWithItsContext(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", engineapi.EventStreamMediaType)
		_, _ = io.WriteString(w, event(chunk(0, 1, "")))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	ctx, stop := context.WithCancel(t.Context())
	stream, err := NewClient(Options{}).Decode(ctx, target, allowAll, decodeRequest())
	assert.NilError(t, err)
	_, err = stream.Next()
	assert.NilError(t, err)
	stop()
	_, err = stream.Next()
	assert.ErrorIs(t, err, context.Canceled)
}

func TestRepliesOfOtherAttemptsAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		want error
	}{
		"attempt":     {`{"attempt_id":"0bad","incarnation":4}`, ErrWrongAttempt},
		"incarnation": {`{"attempt_id":"0af1","incarnation":3}`, ErrWrongIncarnation},
		"malformed":   {`{"attempt_id":`, ErrMalformed},
		"oversized":   {fmt.Sprintf(`{"handle":%q}`, strings.Repeat("x", 5000)), ErrOversized},
	} {
		t.Run(name, func(t *testing.T) {
			target := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.body) })
			client := NewClient(Options{MaxReplyBytes: 4000})
			_, err := client.Prefill(t.Context(), target, allowAll, engineapi.PrefillRequest{Work: engineapi.Work{Attempt: testAttempt}})
			assert.ErrorIs(t, err, test.want)
			_, err = client.Import(t.Context(), target, allowAll, engineapi.ImportRequest{Work: engineapi.Work{Attempt: testAttempt}})
			assert.ErrorIs(t, err, test.want)
		})
	}
}

func FuzzChunkReader(f *testing.F) {
	f.Add([]byte(event(chunk(0, 2, "")) + event(chunk(2, 1, engineapi.FinishStop))))
	f.Add([]byte(": c\nid: 1\r\ndata:{}\ndata: []\n"))
	f.Add([]byte("data: " + strings.Repeat("z", 5000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newChunkReader(strings.NewReader(string(data)), 6000, testAttempt)
		p := streamPosition{target: targetAt("127.0.0.1:1"), attempt: testAttempt, maxOffset: 10}
		for {
			c, err := reader.next()
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrTruncated) || errors.Is(err, ErrOversized))
				return
			}
			before := p.nextOffset
			if p.advance(c) == nil {
				assert.Equal(t, c.Offset, before)
				assert.Assert(t, p.nextOffset >= before && p.nextOffset <= p.maxOffset)
				assert.Equal(t, c.Attempt, testAttempt)
			}
		}
	})
}

func BenchmarkDecodeChunk(b *testing.B) {
	line := event(chunk(0, 1, ""))
	reader := newChunkReader(&endlessReader{line: line}, 64<<10, testAttempt)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := reader.next(); err != nil {
			b.Fatal(err)
		}
	}
}

// endlessReader returns the same event at each read.
type endlessReader struct{ line string }

func (e *endlessReader) Read(p []byte) (int, error) { return copy(p, e.line), nil }
