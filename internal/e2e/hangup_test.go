package e2e_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// A SIGHUP while a daemon starts must not end it: it goes on to read its settings
// file and exits because that is invalid.
func TestHangupEndsNoDaemon(t *testing.T) {
	const exitRefused = 4
	pipe := filepath.Join(t.TempDir(), "daemon.yaml")
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))
	command := exec.Command(programPath("hyssopsaild"), "--config", pipe)
	assert.NilError(t, command.Start())
	file, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns when the daemon has opened it
	assert.NilError(t, err)
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	_, err = file.WriteString("nonsense: [")
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	_ = command.Wait() // the exit code is checked below
	assert.Equal(t, command.ProcessState.ExitCode(), exitRefused, "%v", command.ProcessState)
}
