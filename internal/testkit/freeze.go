// Package testkit holds helpers for the tests of several packages. Only tests import it.
package testkit

import (
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Freeze stops a child process with SIGSTOP and returns once the kernel reports that all
// its threads have stopped: some may continue, and answer, for a moment after the signal
// was sent. SIGCONT resumes the process.
func Freeze(t testing.TB, child *os.Process) {
	t.Helper()
	assert.NilError(t, child.Signal(syscall.SIGSTOP))
	var status syscall.WaitStatus
	_, err := syscall.Wait4(child.Pid, &status, syscall.WUNTRACED, nil)
	assert.NilError(t, err)
	assert.Assert(t, status.Stopped())
}
