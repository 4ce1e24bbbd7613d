package demo

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/traffic"
)

const (
	requests       = 100
	requestTimeout = 60 * time.Second
)

// TestHundredConcurrentRequests sends a hundred mixed requests concurrently and checks that each caller gets
// the complete response to its own request.
func TestHundredConcurrentRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d, err := Start(ctx, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Wait()
	defer cancel()
	target := traffic.Target{EntryURLs: d.Callers, Service: plainService, Deadline: requestTimeout}
	for _, model := range Catalog().Models {
		target.Models = append(target.Models, model.Name)
	}
	kinds := []traffic.Kind{traffic.Completion, traffic.Stream, traffic.Booking}
	checker := traffic.Checker{Attempts: make([]traffic.Attempt, requests), Runs: map[string]int{}}
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			checker.Attempts[i] = target.Send(http.DefaultClient, i%len(d.Callers), kinds[i%len(kinds)], "key-"+strconv.Itoa(i))
		})
	}
	group.Wait()
	for _, engine := range d.Engines {
		checker.Engines = append(checker.Engines, engine.Counts())
	}
	bookings := 0
	for _, service := range d.Services {
		for key, runs := range service.Runs() {
			checker.Runs[key] += runs
			bookings += runs
		}
	}
	if diff := cmp.Diff(map[string][]string{}, checker.Violations()); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
	want := "booking.answered=33 stream.answered=33 whole.answered=34"
	if diff := cmp.Diff(want, traffic.Summary(checker.Attempts)); diff != "" || bookings != requests/len(kinds) {
		t.Errorf("%d bookings ran; responses (-want +got):\n%s", bookings, diff)
	}
}

// TestStopIsNoFailure checks that no node and no stand-in reports an error once the demo is canceled.
func TestStopIsNoFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d, err := Start(ctx, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	for err := range d.Ends() {
		if err != nil {
			t.Error(err)
		}
	}
}
