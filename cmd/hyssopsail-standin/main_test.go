package main

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// runCommandVariable is the environment variable that makes the test binary run
// the command instead of the tests.
const runCommandVariable = "HYSSOPSAIL_STANDIN_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runCommandVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startCommand runs the command in a separate process until the test ends.
func startCommand(t *testing.T, args ...string) (process *exec.Cmd, addresses []string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "addresses")
	args = append(args, "--id", "e", "--zone", "howrah", "--model", "m@1", "--leave-grace", "1ms",
		"--incarnation", "5", "--log-level", "error", "--address-file", file)
	process = exec.Command(os.Args[0], args...)
	process.Env = append(os.Environ(), runCommandVariable+"=1")
	process.Stderr = os.Stderr
	assert.NilError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	poll.WaitOn(t, poll.FileExists(file), poll.WithDelay(time.Millisecond))
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	return process, strings.Split(strings.TrimSpace(string(text)), "\n")
}

func target(line string) engine.Target {
	id, address, _ := strings.Cut(line, " ")
	return engine.Target{ID: fleet.EndpointID(id), Incarnation: 5, Zone: "howrah", Address: address}
}

func newWork(at engine.Target) engineapi.Work {
	model := engineapi.ModelRef{Model: "m", Version: "1"}
	return engineapi.Work{Attempt: "1", Endpoint: at.ID, Incarnation: at.Incarnation, Model: model}
}

func prefill(t *testing.T, at engine.Target, prompt string) error {
	t.Helper()
	_, err := engine.NewClient(engine.Options{PrefillTimeout: 10 * time.Second}).Prefill(t.Context(), at, nil, engineapi.PrefillRequest{
		Work:   newWork(at),
		Prompt: prompt,
	})
	return err
}

func TestManyEndpointsInOneProcess(t *testing.T) {
	process, addresses := startCommand(t, "--count", "3")
	assert.Equal(t, len(addresses), 3)
	for _, line := range addresses {
		assert.NilError(t, prefill(t, target(line), "x"))
	}
	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, process.Wait())
}

// An engine process gets SIGTERM with a stream in flight. The stream must be
// complete, and the process must exit with code 0.
func TestStopIsGraceful(t *testing.T) {
	const prompt = "stop [[tokens=50]]"
	process, addresses := startCommand(t)
	at := target(addresses[0])
	client := engine.NewClient(engine.Options{})
	w := newWork(at)
	kv, err := client.Prefill(t.Context(), at, nil, engineapi.PrefillRequest{Work: w, Prompt: prompt})
	assert.NilError(t, err)
	_, err = client.Import(t.Context(), at, nil, engineapi.ImportRequest{Work: w, Source: at.Address, Handle: kv.Handle})
	assert.NilError(t, err)
	stream, err := client.Decode(t.Context(), at, nil, engineapi.DecodeRequest{Work: w, Prompt: prompt})
	assert.NilError(t, err)
	text := ""
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		if text == "" {
			assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
		}
		text += chunk.Text
	}
	assert.Equal(t, text, standin.ExpectedText(prompt, 0))
	assert.NilError(t, process.Wait())
}

// A request with the crash marker ends the process that runs it, and its client
// sees the connection break.
func TestMarkedRequestEndsTheProcess(t *testing.T) {
	process, addresses := startCommand(t, "--crash-marker", "poison")
	err := prefill(t, target(addresses[0]), "poison")
	var failure *engine.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent)
	var exit *exec.ExitError
	assert.Assert(t, errors.As(process.Wait(), &exit))
	assert.Equal(t, exit.ExitCode(), 3)
}

// An engine process is stopped by SIGSTOP during a prefill and resumes after
// SIGCONT. Its late answer must still be valid.
func TestStoppedProcessResumes(t *testing.T) {
	process, addresses := startCommand(t, "--prefill-base", "300ms")
	done := make(chan error, 1)
	go func() { done <- prefill(t, target(addresses[0]), "x") }()
	client := engine.NewClient(engine.Options{ReadTimeout: 100 * time.Millisecond})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		held, err := client.Held(t.Context(), target(addresses[0]))
		if err == nil && len(held.Held) == 1 {
			return poll.Success()
		}
		return poll.Continue("%d held: %v", len(held.Held), err)
	}, poll.WithDelay(time.Millisecond))
	testkit.Freeze(t, process.Process)
	_, err := client.Held(t.Context(), target(addresses[0]))
	assert.Assert(t, err != nil)
	assert.NilError(t, process.Process.Signal(syscall.SIGCONT))
	assert.NilError(t, <-done)
}

func TestBadCommandLines(t *testing.T) {
	for name, args := range map[string][]string{
		"no ID":        {"--zone", "z"},
		"no zone":      {"--id", "e"},
		"unknown role": {"--id", "e", "--zone", "z", "--role", "cook"},
		"bad model":    {"--id", "e", "--zone", "z", "--model", "m"},
		"no version":   {"--id", "e", "--zone", "z", "--model", "m@/a"},
		"no endpoints": {"--id", "e", "--zone", "z", "--count", "0"},
		"bad faults":   {"--id", "e", "--zone", "z", "--faults", "{"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseCommandLine(args)
			assert.Assert(t, err != nil)
		})
	}
}

func TestCommandLine(t *testing.T) {
	c, err := parseCommandLine([]string{
		"--id", "e", "--zone", "z", "--role", "prefill", "--model", "m@1/a", "--model", "n@2",
		"--faults", `{"slow":2}`, "--crash-at", "decode", "--kv-life", "1s",
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, c.options.Models, []engineapi.ModelRef{
		{Model: "m", Version: "1", Adapter: "a"}, {Model: "n", Version: "2"},
	})
	assert.Equal(t, c.options.Faults.StepSlowdown, 2.0)
	assert.Equal(t, c.options.CrashStage, engineapi.StageDecode)
	assert.Equal(t, c.options.Timing.KVLifetime, time.Second)
}
