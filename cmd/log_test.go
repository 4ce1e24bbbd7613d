package cmd

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/logging"
)

// TestWithLogWritesEveryLine returns an error right after the last log call; every line must be written and the error returned.
func TestWithLogWritesEveryLine(t *testing.T) {
	var out bytes.Buffer
	failed := errors.New("failed")
	err := withLog(t.Context(), &out, 0, func(_ *logging.Writer, log logr.Logger) error {
		log.Info("one", "id", "a")
		log.V(1).Info("not shown")
		log.Error(failed, "two")
		return failed
	})
	var got []string
	for line := range strings.Lines(out.String()) {
		_, event, _ := strings.Cut(line, "msg=")
		got = append(got, event)
	}
	want := []string{"one id=a\n", "two err=failed\n"}
	if diff := cmp.Diff(want, got); diff != "" || !errors.Is(err, failed) {
		t.Errorf("%v\n%s", err, diff)
	}
}

// TestWithLogWritesAfterCancel checks that lines are still written and withLog returns if the command's context is already canceled.
func TestWithLogWritesAfterCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out bytes.Buffer
	if err := withLog(ctx, &out, 0, func(_ *logging.Writer, log logr.Logger) error { log.Info("last"); return nil }); err != nil || out.Len() == 0 {
		t.Errorf("%v, %d bytes", err, out.Len())
	}
}

// blockedOutput takes no lines.
type blockedOutput struct{ unblocked chan struct{} }

func (o blockedOutput) Write(data []byte) (int, error) {
	<-o.unblocked
	return len(data), nil
}

// TestWithLogEndsWithBlockedOutput guards against a process whose part has ended but that stays, since nobody reads its log.
func TestWithLogEndsWithBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedOutput{make(chan struct{})}
		failed, ended := errors.New("failed"), make(chan error, 1)
		go func() {
			ended <- withLog(t.Context(), out, 0, func(_ *logging.Writer, log logr.Logger) error {
				log.Info("one")
				time.Sleep(time.Second)
				return failed
			})
		}()
		select {
		case err := <-ended:
			if !errors.Is(err, failed) {
				t.Errorf("it ended with %v", err)
			}
		case <-time.After(10 * time.Second):
			t.Error("it has not ended after 10 s")
		}
		close(out.unblocked)
	})
}
