package e2e_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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
	ended   chan struct{}
	status  error
	log     *bytes.Buffer
}

// Ports of each daemon on its own loopback IP number.
const (
	rpcPort       = 7401
	callersPort   = 7402
	endpointsPort = 7403
	operatorsPort = 7404
)

func (i *instance) at(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// lockedWriter lets a test read a log while the process writes it.
type lockedWriter struct{ of *instance }

func (w lockedWriter) Write(p []byte) (int, error) {
	w.of.mu.Lock()
	defer w.of.mu.Unlock()
	return w.of.log.Write(p)
}

func (i *instance) start(t *testing.T) {
	t.Helper()
	command := exec.Command(program("hyssopsaild"), "--config", filepath.Join(i.folder, "daemon.yaml"))
	i.mu.Lock()
	if i.log == nil {
		i.log = &bytes.Buffer{}
	}
	i.command = command
	i.ended = make(chan struct{})
	ended := i.ended
	i.mu.Unlock()
	command.Stderr = lockedWriter{i}
	assert.NilError(t, command.Start())
	go func() {
		status := command.Wait()
		i.mu.Lock()
		i.status = status
		i.mu.Unlock()
		close(ended)
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
	<-i.ended
}

func (i *instance) freeze(t *testing.T) { t.Helper(); i.signal(t, syscall.SIGSTOP) }
func (i *instance) thaw(t *testing.T)   { t.Helper(); i.signal(t, syscall.SIGCONT) }

// stop ends the process gracefully and gives its exit status.
func (i *instance) stop(t *testing.T, within time.Duration) error {
	t.Helper()
	i.terminate(t)
	return i.awaitEnd(within)
}

// terminate begins a graceful stop.
func (i *instance) terminate(t *testing.T) { t.Helper(); i.signal(t, syscall.SIGTERM) }

// awaitEnd gives the exit status of a process that was told to end.
func (i *instance) awaitEnd(within time.Duration) error {
	select {
	case <-i.ended:
	case <-time.After(within):
		return fmt.Errorf("%s did not stop within %s", i.id, within)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.status
}

// cleanup ends what still runs, frozen or not.
func (i *instance) cleanup(t *testing.T) {
	if i.command == nil {
		return
	}
	select {
	case <-i.ended:
	default:
		_ = i.command.Process.Signal(syscall.SIGKILL)
		<-i.ended
	}
	for _, fault := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
		if n := bytes.Index(i.log.Bytes(), []byte(fault)); n >= 0 {
			t.Errorf("%s: %s", i.id, i.log.Bytes()[n:min(n+tailBytes, i.log.Len())])
		}
	}
	if t.Failed() {
		t.Logf("log of %s:\n%s", i.id, i.tail())
	}
}

const tailBytes = 4000

func (i *instance) tail() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	text := i.log.Bytes()
	if len(text) > tailBytes {
		text = text[len(text)-tailBytes:]
	}
	return string(text)
}

// loseDisk empties the data folder of a stopped instance.
func (i *instance) loseDisk(t *testing.T) {
	t.Helper()
	assert.NilError(t, os.RemoveAll(filepath.Join(i.folder, "data")))
}

// eventually polls until check is nil, and ends the test after within.
func eventually(t *testing.T, within time.Duration, check func() error) {
	t.Helper()
	if !poll(t, within, check) {
		t.FailNow()
	}
}

// poll is eventually for goroutines beside the test's own, which must not end
// it: they mark it as failed.
func poll(t *testing.T, within time.Duration, check func() error) bool {
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
		<-time.After(pollEvery)
	}
}

const pollEvery = 20 * time.Millisecond
