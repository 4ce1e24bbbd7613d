package cmd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRequestThatArrivesWhileServerStopsIsAnswered has a request arrive in two parts on a kept connection, before and after the stop.
func TestRequestThatArrivesWhileServerStopsIsAnswered(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reader, writer := io.Pipe()
	ended := make(chan int, 1)
	var stderr bytes.Buffer
	go func() {
		ended <- Main(ctx, []string{programName, standinName, "service", "--call-time", "1ms"}, writer, &stderr)
		_ = writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	if err != nil {
		t.Fatal(err, stderr.String())
	}
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(strings.TrimSpace(line), "listening on http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	const request = "GET /stock HTTP/1.1\r\nHost: a.example\r\n\r\n"
	responses := bufio.NewReader(c)
	read := func() error {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	_, _ = io.WriteString(c, request)
	if err := read(); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, request[:9])
	time.Sleep(50 * time.Millisecond)
	cancel()
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(c, request[9:])
	if err := read(); err != nil {
		t.Error("no answer to the request that had begun to arrive: ", err)
	}
	if code := <-ended; code != exitOK {
		t.Errorf("exit code %d: %s", code, stderr.String())
	}
}
