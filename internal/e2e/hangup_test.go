package e2e_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that is lost to a SIGHUP while it starts: it lives on, and
// refuses the file that it then reads.
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
	_ = command.Wait() // its state tells how it ended
	assert.Equal(t, command.ProcessState.ExitCode(), exitRefused, "%v", command.ProcessState)
}
