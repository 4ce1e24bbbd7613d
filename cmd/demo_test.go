package cmd

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"
)

// TestDemoStops cancels the demo right after it has printed its instructions; it must then exit without an error.
func TestDemoStops(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reader, writer := io.Pipe()
	code := make(chan int, 1)
	var problems bytes.Buffer
	go func() {
		code <- Main(ctx, []string{programName, "demo"}, writer, &problems)
		_ = writer.Close()
	}()
	buffer, text := make([]byte, 4096), ""
	for !strings.Contains(text, "stop with") {
		n, err := reader.Read(buffer)
		if err != nil {
			t.Fatalf("the demo ended early: %v, printed %q", err, text)
		}
		text += string(buffer[:n])
	}
	cancel()
	select {
	case got := <-code:
		if got != exitOK {
			t.Errorf("exit code %d, want %d: %s", got, exitOK, problems.String())
		}
	case <-time.After(time.Minute):
		t.Error("the demo is still running a minute after it was canceled")
	}
}
