package cmd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestStandins(t *testing.T) {
	tests := []struct{ name, path, want string }{
		{"engine --memory 123", "/state", `"MemoryMB":123`},
		{"service --call-time 1ms", "/stock", `"Stock"`},
		{"store", "/weights/m@1", ""},
		{"platform --vm one --list-lag 0s", "/vms", `"Name":"one"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			reader, writer := io.Pipe()
			ended := make(chan int, 1)
			var stderr bytes.Buffer
			args := append([]string{programName, standinName}, strings.Fields(test.name)...)
			go func() {
				ended <- Main(ctx, args, writer, &stderr)
				_ = writer.Close()
			}()
			line, err := bufio.NewReader(reader).ReadString('\n')
			if err != nil {
				t.Fatal(err, stderr.String())
			}
			address := strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
			response, err := http.Get(address + test.path)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(body), test.want) {
				t.Errorf("%d %s %v", response.StatusCode, body, err)
			}
			cancel()
			if code := <-ended; code != exitOK {
				t.Errorf("exit code %d: %s", code, stderr.String())
			}
		})
	}
}

func TestStandinRejectsInvalidAddress(t *testing.T) {
	got := run(standinName, "service", "--listen", "nowhere")
	if got.Code != exitFailure || !strings.HasPrefix(got.Stderr, "cannot listen on nowhere: ") || strings.Count(got.Stderr, "\n") != 1 {
		t.Errorf("%+v", got)
	}
}
