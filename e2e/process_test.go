package e2e

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const stopTimeout = 15 * time.Second

// process is a running process of the binary; it is only ever signalled by its own process ID.
type process struct {
	name    string
	command *exec.Cmd
	exited  <-chan error
}

// pipedOutput hides from os/exec that output goes to a file, so that the process gets a pipe.
type pipedOutput struct{ io.Writer }

// startProcess starts the binary and appends its output to NAME.log in dir.
func startProcess(t *testing.T, binary, dir, name string, args ...string) *process {
	t.Helper()
	return startProcessEnv(t, binary, dir, name, nil, args...)
}

// startProcessEnv is like startProcess, with additional environment variables.
func startProcessEnv(t *testing.T, binary, dir, name string, env []string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(context.WithoutCancel(t.Context()), binary, args...)
	// The output passes through a pipe, as a limit on file sizes would apply to the log.
	output := pipedOutput{log}
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), env...)
	// The kernel kills the process if the test binary dies, so that a panic leaves no processes behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() {
		err := command.Wait()
		_ = log.Close()
		exited <- err
		close(exited)
	}()
	return &process{name: name, command: command, exited: exited}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill kills the process immediately, like the loss of its VM, and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	for range p.exited { // wait until the process is gone
	}
}

// stop sends SIGTERM and returns the exit error; nil means exit code 0.
func (p *process) stop(t *testing.T) error {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		return err
	case <-time.After(stopTimeout):
		p.kill()
		t.Errorf("%s did not stop within %v", p.name, stopTimeout)
		return nil
	}
}

// suspend stops the process without closing its connections, like a VM that hangs.
func (p *process) suspend() { p.signal(syscall.SIGSTOP) }

// resume lets a suspended process continue.
func (p *process) resume() { p.signal(syscall.SIGCONT) }
