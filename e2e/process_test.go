package e2e

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const stopTimeout = 15 * time.Second

// process is one running binary; it is ended by its own id only.
type process struct {
	name    string
	command *exec.Cmd
	ended   <-chan error
}

// start runs the binary with its output appended to a file of its own.
func start(t *testing.T, binary, folder, name string, args ...string) *process {
	t.Helper()
	return startWith(t, binary, folder, name, nil, args...)
}

// startWith runs the binary with variables added to its environment.
func startWith(t *testing.T, binary, folder, name string, environment []string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(context.WithoutCancel(t.Context()), binary, args...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), environment...)
	// A panic of the test binary must not leave processes behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		ended <- command.Wait()
		close(ended)
	}()
	return &process{name: name, command: command, ended: ended}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process at once, as a lost VM does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	for range p.ended { // until the process is gone
	}
}

// stop asks the process to end and returns how it ended; nil is exit code 0.
func (p *process) stop(t *testing.T) error {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		return err
	case <-time.After(stopTimeout):
		p.kill()
		t.Errorf("%s did not stop within %v", p.name, stopTimeout)
		return nil
	}
}

// freeze stops the process without closing its connections, as a silent failure does.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// thaw lets a frozen process go on.
func (p *process) thaw() { p.signal(syscall.SIGCONT) }
