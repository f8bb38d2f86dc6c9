package e2e_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// instance is one daemon process, which a test may kill, freeze and restart.
type instance struct {
	id     string
	ip     string
	zone   string
	roles  string
	folder string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	exitErr error
	log     *bytes.Buffer
}

// Ports of each daemon on its own loopback IP number.
const (
	rpcPort       = 7401
	callersPort   = 7402
	endpointsPort = 7403
	operatorsPort = 7404
)

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// lockedWriter appends to an instance's log under its lock, so that a test can read
// the log while the process writes it.
type lockedWriter struct{ instance *instance }

func (w lockedWriter) Write(p []byte) (int, error) {
	w.instance.mu.Lock()
	defer w.instance.mu.Unlock()
	return w.instance.log.Write(p)
}

func (i *instance) start(t *testing.T) {
	t.Helper()
	command := exec.Command(programPath("hyssopsaild"), "--config", filepath.Join(i.folder, "daemon.yaml"))
	i.mu.Lock()
	if i.log == nil {
		i.log = &bytes.Buffer{}
	}
	i.command = command
	i.exited = make(chan struct{})
	exited := i.exited
	i.mu.Unlock()
	command.Stderr = lockedWriter{i}
	assert.NilError(t, command.Start())
	go func() {
		status := command.Wait()
		i.mu.Lock()
		i.exitErr = status
		i.mu.Unlock()
		close(exited)
	}()
}

func (i *instance) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, i.command.Process.Signal(s))
}

// kill ends the process at once and waits until it is gone.
func (i *instance) kill(t *testing.T) {
	t.Helper()
	i.signal(t, syscall.SIGKILL)
	<-i.exited
}

func (i *instance) freeze(t *testing.T) { t.Helper(); i.signal(t, syscall.SIGSTOP) }
func (i *instance) resume(t *testing.T) { t.Helper(); i.signal(t, syscall.SIGCONT) }

// stop ends the process gracefully and returns its exit error.
func (i *instance) stop(t *testing.T, within time.Duration) error {
	t.Helper()
	i.terminate(t)
	return i.awaitExit(within)
}

// terminate sends SIGTERM, which starts a graceful stop.
func (i *instance) terminate(t *testing.T) { t.Helper(); i.signal(t, syscall.SIGTERM) }

// awaitExit waits for the process to end and returns its exit error.
func (i *instance) awaitExit(within time.Duration) error {
	select {
	case <-i.exited:
	case <-time.After(within):
		return fmt.Errorf("%s did not stop within %s", i.id, within)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exitErr
}

// cleanup kills the process if it still runs, frozen or not, and fails the test on
// data races and panics in its log.
func (i *instance) cleanup(t *testing.T) {
	if i.command == nil {
		return
	}
	select {
	case <-i.exited:
	default:
		_ = i.command.Process.Signal(syscall.SIGKILL)
		<-i.exited
	}
	for _, fault := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
		if n := bytes.Index(i.log.Bytes(), []byte(fault)); n >= 0 {
			t.Errorf("%s: %s", i.id, i.log.Bytes()[n:min(n+logTailBytes, i.log.Len())])
		}
	}
	if t.Failed() {
		t.Logf("log of %s:\n%s", i.id, i.logTail())
	}
}

const logTailBytes = 4000

func (i *instance) logTail() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	text := i.log.Bytes()
	if len(text) > logTailBytes {
		text = text[len(text)-logTailBytes:]
	}
	return string(text)
}

// latestLines returns the last lines of the log that contain a text.
func (i *instance) latestLines(text string, count int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var found []string
	for line := range strings.Lines(i.log.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return strings.Join(found[max(0, len(found)-count):], "")
}

// loseDisk empties the data folder of a stopped instance.
func (i *instance) loseDisk(t *testing.T) {
	t.Helper()
	assert.NilError(t, os.RemoveAll(filepath.Join(i.folder, "data")))
}

// eventually polls until check returns nil, and fails the test at once after within.
func eventually(t *testing.T, within time.Duration, check func() error) {
	t.Helper()
	if !pollUntil(t, within, check) {
		t.FailNow()
	}
}

// pollUntil is eventually for goroutines other than the test's own. These must not
// call FailNow, so it marks the test as failed and returns false.
func pollUntil(t *testing.T, within time.Duration, check func() error) bool {
	t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return true
		}
		if time.Now().After(deadline) {
			t.Errorf("not so within %s: %v", within, err)
			return false
		}
		<-time.After(pollInterval)
	}
}

const pollInterval = 20 * time.Millisecond
