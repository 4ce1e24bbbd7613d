package cmd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"burdocksaddle/platform/standin"
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

// TestSignalsDuringDrainDoNotEndProcess sends further signals to a gateway and a steward that are asked to stop, while a request arrives.
func TestSignalsDuringDrainDoNotEndProcess(t *testing.T) {
	for command, want := range map[string]int{"gateway": http.StatusServiceUnavailable, "steward": http.StatusNotFound} {
		t.Run(command, func(t *testing.T) {
			subnet, err := standin.ReserveSubnet(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(subnet.Close)
			ip := subnet.IP(0, 0)
			path, address := filepath.Join(t.TempDir(), "node.json"), net.JoinHostPort(ip, "8149")
			node := standin.Node{
				Name: "n", IP: ip, Port: 7380, FirstStart: true, DataDir: t.TempDir(), List: net.JoinHostPort(ip, "1"), Grace: 3 * time.Second,
				Client: address, Ready: net.JoinHostPort(ip, "8141"),
			}
			if command == "steward" {
				node.Operator = address
			}
			settings, err := node.SettingsFile()
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, settings, 0o600); err != nil {
				t.Fatal(err)
			}
			var output bytes.Buffer
			process := exec.CommandContext(t.Context(), os.Args[0])
			process.Env = append(os.Environ(), startVariable+"="+command, "BURDOCKSADDLE_NODE_FILE="+path)
			process.Stdout, process.Stderr = &output, &output
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			var c net.Conn
			for end := time.Now().Add(10 * time.Second); c == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				c, _ = (&net.Dialer{Timeout: time.Second}).DialContext(t.Context(), "tcp", address)
			}
			if c == nil {
				t.Fatal("the process does not listen: ", output.String())
			}
			defer func() { _ = c.Close() }()
			const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
			_, _ = io.WriteString(c, request[:9])
			time.Sleep(100 * time.Millisecond)
			for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP} {
				if err := process.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
			}
			_, _ = io.WriteString(c, request[9:])
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal("no response: ", err, output.String())
			}
			_ = response.Body.Close()
			if err := process.Wait(); err != nil || response.StatusCode != want {
				t.Errorf("status %d, process %v, output %q", response.StatusCode, err, output.String())
			}
		})
	}
}
