// Package testkit holds what tests of several packages need; nothing else
// imports it.
package testkit

import (
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Freeze stops a child process by SIGSTOP and returns once the kernel reports
// that all its threads are stopped: some may run on, and answer, for a moment
// after the signal was sent. SIGCONT lets it go on.
func Freeze(t testing.TB, child *os.Process) {
	t.Helper()
	assert.NilError(t, child.Signal(syscall.SIGSTOP))
	var status syscall.WaitStatus
	_, err := syscall.Wait4(child.Pid, &status, syscall.WUNTRACED, nil)
	assert.NilError(t, err)
	assert.Assert(t, status.Stopped())
}
