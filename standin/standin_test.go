package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/engineapi"
)

func TestServiceCountsRuns(t *testing.T) {
	tests := []struct {
		name  string
		fault Fault
		code  int
		runs  map[string]int
	}{
		{name: "no fault", code: http.StatusOK, runs: map[string]int{"k": 2}},
		{name: "response lost after the run", fault: Fault{LoseAnswer: true}, runs: map[string]int{"k": 2}},
		{name: "silent", fault: Fault{Silent: true}, runs: map[string]int{}},
		{name: "refused", fault: Fault{Refuse: true}, runs: map[string]int{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewService(t.Context())
				defer s.Close()
				s.SetFault(test.fault)
				for range 2 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					w := sendRequest(ctx, s, http.MethodPost, "/book", "van 3", http.Header{"Idempotency-Key": {"k"}})
					cancel()
					if w.Code != test.code {
						t.Errorf("status %d, want %d", w.Code, test.code)
					}
				}
				if diff := cmp.Diff(test.runs, s.Runs()); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestStoreSlowsBeyondFullSpeed(t *testing.T) {
	tests := []struct {
		loads   int
		refused int
		want    time.Duration
	}{
		{loads: 1, want: time.Second},
		{loads: 4, want: time.Second},
		{loads: 5, want: 1250 * time.Millisecond},
		{loads: 7, refused: 2, want: 1250 * time.Millisecond},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := NewStore(t.Context())
			defer s.Close()
			start := time.Now()
			var group sync.WaitGroup
			for range test.loads {
				group.Go(func() {
					w := sendRequest(t.Context(), s, http.MethodGet, engineapi.PathWeights+"m@1?mb=1000", "", nil)
					if w.Code == http.StatusTooManyRequests && w.Header().Get("Retry-After") != "1" {
						t.Errorf("Retry-After: %q", w.Header().Get("Retry-After"))
					}
				})
			}
			group.Wait()
			elapsed := time.Since(start).Round(time.Millisecond)
			if elapsed != test.want {
				t.Errorf("%d loads took %v, want %v", test.loads, elapsed, test.want)
			}
			admitted := test.loads - test.refused
			want := StoreCounts{Loads: admitted, Finished: admitted, Refused: test.refused, PeakActive: admitted}
			if diff := cmp.Diff(want, s.Counts()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPlatformListIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPlatform(t.Context(), ListedVMs("b", "a"), ListLag(2*time.Second))
		defer p.Close()
		p.SetVM("a", true)
		time.Sleep(time.Second)
		p.Remove("b")
		steps := []struct {
			wait time.Duration
			want []engineapi.VM
		}{
			{0, []engineapi.VM{{Name: "a"}, {Name: "b"}}},
			{time.Second, []engineapi.VM{{Name: "a", Leaving: true}, {Name: "b"}}},
			{time.Second, []engineapi.VM{{Name: "a", Leaving: true}}},
		}
		for _, step := range steps {
			time.Sleep(step.wait)
			w := sendRequest(t.Context(), p, http.MethodGet, engineapi.PathVMs, "", nil)
			var got engineapi.VMList
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(step.want, got.VMs); diff != "" {
				t.Error(diff)
			}
		}
	})
}
