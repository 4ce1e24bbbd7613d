package cmd

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// startVariable makes the test binary run a command instead of the tests.
const startVariable = "BURDOCKSADDLE_TEST_COMMAND"

func TestMain(m *testing.M) {
	if command := os.Getenv(startVariable); command != "" {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		code := Main(ctx, []string{"burdocksaddle", command}, os.Stdout, os.Stderr)
		stop()
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// TestReloadSignalDuringStartDoesNotEndProcess sends SIGHUP while a process reads its settings, from a pipe that the test holds back.
func TestReloadSignalDuringStartDoesNotEndProcess(t *testing.T) {
	for _, command := range []string{"gateway", "steward"} {
		t.Run(command, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.json")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			var output bytes.Buffer
			process := exec.CommandContext(t.Context(), os.Args[0])
			process.Env = append(os.Environ(), startVariable+"="+command, "BURDOCKSADDLE_NODE_FILE="+path)
			process.Stdout, process.Stderr = &output, &output
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process reads
			if err != nil {
				t.Fatal(err)
			}
			if err := process.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			if err := settings.Close(); err != nil {
				t.Fatal(err)
			}
			_ = process.Wait() // the process refuses the empty settings
			if code := process.ProcessState.ExitCode(); code != 1 {
				t.Errorf("%v, output %q", process.ProcessState, output.String())
			}
		})
	}
}
