package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/operatorapi"
)

// TestConcurrentOperatorChanges sends conflicting preset changes to all control members concurrently. Exactly one may be
// accepted, a resend through another member must get the same result, and the change and its rollback must come into force.
func TestConcurrentOperatorChanges(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d, err := Start(ctx, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Wait()
	defer cancel()
	statuses := make([]int, len(d.Operators))
	var group sync.WaitGroup
	for i, base := range d.Operators {
		group.Go(func() {
			statuses[i] = operatorCall(t, http.MethodPost, base+operatorapi.PathPreset, `{"Preset":"Peak"}`, "op-"+strconv.Itoa(i), `"1"`, nil)
		})
	}
	group.Wait()
	accepted := 0
	for i, status := range statuses {
		resent := operatorCall(t, http.MethodPost, d.Operators[(i+1)%len(statuses)]+operatorapi.PathPreset, `{"Preset":"Peak"}`, "op-"+strconv.Itoa(i), `"1"`, nil)
		if status != resent || status != http.StatusOK && status != http.StatusPreconditionFailed {
			t.Errorf("operator %d got %d, resent through another member %d", i, status, resent)
		}
		if status == http.StatusOK {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("%d changes accepted, want 1: %v", accepted, statuses)
	}
	var inForce operatorapi.InForce
	start := time.Now()
	operatorCall(t, http.MethodGet, d.Operators[2]+operatorapi.PathWait+"?version=2&timeout_ms=30000", "", "", "", &inForce)
	if !inForce.InForce || len(inForce.Waiting) > 0 {
		t.Errorf("not in force: %+v", inForce)
	}
	t.Logf("in force after %v with a new leader", time.Since(start))
	start = time.Now()
	rollbackStatus := operatorCall(t, http.MethodPost, d.Operators[1]+operatorapi.PathRollback, `{"Version":1}`, "back", `"2"`, nil)
	operatorCall(t, http.MethodGet, d.Operators[0]+operatorapi.PathWait+"?version=3&timeout_ms=30000", "", "", "", &inForce)
	if rollbackStatus != http.StatusOK || !inForce.InForce {
		t.Errorf("rollback %d, in force %+v", rollbackStatus, inForce)
	}
	t.Logf("in force after %v with an old leader", time.Since(start))
	var diff []catalog.Difference
	operatorCall(t, http.MethodGet, d.Operators[2]+operatorapi.PathDiff+"?from=1&to=3", "", "", "", &diff)
	if len(diff) > 0 {
		t.Errorf("rolled back to %v", diff)
	}
	var members []struct {
		Name   string
		Voter  bool
		Leader bool
	}
	operatorCall(t, http.MethodGet, d.Operators[1]+operatorapi.PathMembers, "", "", "", &members)
	leaders := 0
	for _, member := range members {
		if member.Leader {
			leaders++
		}
	}
	if len(members) != controlCount || leaders != 1 {
		t.Errorf("members %+v", members)
	}
}

func operatorCall(t *testing.T, method, url, body, operation, base string, into any) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Header.Set(operatorapi.HeaderOperationID, operation)
	request.Header.Set(operatorapi.HeaderIfMatch, base)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && into != nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		t.Errorf("%s: %v %s", url, err, data)
	}
	return response.StatusCode
}
