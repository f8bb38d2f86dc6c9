package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// stopTimeout is how long a process may take to stop gracefully.
const stopTimeout = 30 * time.Second

// process is a child process.
type process struct {
	command *exec.Cmd
	done    chan struct{} // closed when it has ended
}

// startProcess starts a program whose standard error is appended to the file log.
func startProcess(log string, environment []string, program string, arguments ...string) (*process, error) {
	if err := os.MkdirAll(filepath.Dir(log), 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	file, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }() // the child has its own file descriptor
	command := exec.Command(program, arguments...)
	command.Stderr = file
	command.Env = append(os.Environ(), environment...)
	if err := command.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	p := &process{command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // the child's log tells how it ended
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// wait waits for the process to end, and kills it after stopTimeout.
func (p *process) wait() {
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
