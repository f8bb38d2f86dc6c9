package standin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

var (
	model          = engineapi.ModelRef{Model: "fibre", Version: "1"}
	owner          = fleet.Owner{Instance: "entry-1", Incarnation: 7}
	attemptCounter atomic.Uint64
)

func allowAll(engine.Target) error { return nil }

// fastTiming returns a timing some ten times faster than that of a real engine.
func fastTiming() standin.Timing {
	return standin.Timing{
		StepBase:           time.Millisecond,
		StepPerRequest:     100 * time.Microsecond,
		PrefillBase:        5 * time.Millisecond,
		PrefillPerToken:    10 * time.Microsecond,
		PrefillSlice:       time.Millisecond,
		KVBytesPerToken:    1 << 10,
		LinkBytesPerSecond: 100 << 20,
		KVBytesPerWireByte: 16,
		CallDuration:       time.Millisecond,
		LeaveGrace:         time.Millisecond,
		ModelLoadTime:      time.Millisecond,
		CacheEventInterval: 5 * time.Millisecond,
		LoadReportDelay:    time.Millisecond,
	}
}

// start runs an endpoint until the test ends, by default on a free port.
func start(t *testing.T, o standin.Options) *standin.Standin {
	t.Helper()
	s, stop := startStoppable(t, o)
	t.Cleanup(stop)
	return s
}

func startStoppable(t *testing.T, o standin.Options) (*standin.Standin, func()) {
	t.Helper()
	if o.ID == "" {
		o.ID = "engine"
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Timing == (standin.Timing{}) {
		o.Timing = fastTiming()
	}
	o.Zone = "howrah"
	o.Models = []engineapi.ModelRef{model}
	s, err := standin.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	select {
	case <-s.Ready():
	case err := <-done:
		t.Fatalf("endpoint did not start: %v", err)
	}
	return s, func() {
		cancel()
		assert.Check(t, <-done == nil)
	}
}

func pair(t *testing.T) (prefill, decode *standin.Standin) {
	t.Helper()
	prefill = start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill})
	decode = start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode})
	return prefill, decode
}

func target(s *standin.Standin) engine.Target {
	a := s.Announcement()
	return engine.Target{ID: a.ID, Incarnation: a.Incarnation, Zone: a.Zone, Address: a.Address}
}

func newAttempt() fleet.AttemptID {
	return fleet.AttemptID(fmt.Sprintf("%032x", attemptCounter.Add(1)))
}

func work(at engine.Target, attempt fleet.AttemptID) engineapi.Work {
	return engineapi.Work{Attempt: attempt, Owner: owner, Endpoint: at.ID, Incarnation: at.Incarnation, Model: model}
}

// flow runs the steps of one request on two engines.
type flow struct {
	client          *engine.HTTPClient
	prefill, decode engine.Target
	attempt         fleet.AttemptID
	prompt          string
	maxTokens       int
	kv              engineapi.PrefillReply
}

func newFlow(p, d *standin.Standin, prompt string) *flow {
	return &flow{
		client: engine.NewClient(engine.Options{}), prefill: target(p), decode: target(d),
		attempt: newAttempt(), prompt: prompt, maxTokens: 200,
	}
}

func (f *flow) runPrefill(ctx context.Context) error {
	var err error
	f.kv, err = f.client.Prefill(ctx, f.prefill, allowAll, engineapi.PrefillRequest{
		Work: work(f.prefill, f.attempt), Prompt: f.prompt, MaxTokens: f.maxTokens,
	})
	return err
}

func (f *flow) runImport(ctx context.Context) error {
	_, err := f.client.Import(ctx, f.decode, allowAll, engineapi.ImportRequest{
		Work: work(f.decode, f.attempt), Source: f.prefill.Address, Handle: f.kv.Handle,
		PromptTokens: f.kv.PromptTokens, KVBytes: f.kv.KVBytes,
	})
	return err
}

func (f *flow) open(ctx context.Context, offset int) (engine.Stream, error) {
	return f.client.Decode(ctx, f.decode, allowAll, engineapi.DecodeRequest{
		Work: work(f.decode, f.attempt), Prompt: f.prompt, MaxTokens: f.maxTokens,
		Offset: offset, Prefix: standin.ExpectedRange(f.prompt, 0, offset),
	})
}

// toDecode runs the steps before the decode.
func (f *flow) toDecode(t *testing.T) {
	t.Helper()
	assert.NilError(t, f.runPrefill(t.Context()))
	assert.NilError(t, f.runImport(t.Context()))
}

// toStream runs all steps and returns the stream from offset.
func (f *flow) toStream(t *testing.T, offset int) engine.Stream {
	t.Helper()
	f.toDecode(t)
	stream, err := f.open(t.Context(), offset)
	assert.NilError(t, err)
	return stream
}

// inBackground runs one step on a copy of f. The channel receives its error.
func (f *flow) inBackground(step func(*flow, context.Context) error) <-chan error {
	copied := *f
	done := make(chan error, 1)
	go func() { done <- step(&copied, context.Background()) }()
	return done
}

// readStream returns a stream's text and the finish of its last chunk.
func readStream(s engine.Stream) (text string, finish engineapi.Finish, err error) {
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, finish, nil
		}
		if err != nil {
			return text, finish, err
		}
		text += chunk.Text
		finish = chunk.Finish
	}
}

// eventually polls until ok returns true; after 10 s the test fails.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("never came true: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func holdsNothing(s *standin.Standin) func() bool {
	return func() bool { return len(s.Held()) == 0 }
}

func codeOf(err error) engineapi.Code {
	failure, ok := err.(*engine.Error)
	if !ok {
		return ""
	}
	return failure.Code
}
