package steward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quarantine"
	"burdocksaddle/wirepb"
)

// startLeading commits a table and waits until the steward's leader loop runs, since reports count from then on.
func startLeading(ctx context.Context, t *testing.T, s *Steward) {
	t.Helper()
	commitTable(ctx, t, s, []byte("version 1:"), 1)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		leading := s.leading
		s.mu.Unlock()
		if leading {
			return
		}
	}
	t.Fatal("the steward does not lead")
}

// reportCrashes reports consecutive crashes of endpoints under requests with a part, as a gateway does.
func reportCrashes(s *Steward, count int, part uint64) {
	report := &wirepb.DemandReport{}
	for n := range count {
		report.Crashes = append(report.Crashes, &wirepb.EndpointCrash{
			Endpoint: fmt.Sprintf("w%d-%d", part, n), Request: fmt.Sprintf("r%d-%d", part, n), Parts: []uint64{part}, AgeMs: uint32(1000 * (count - n)), RanMs: 100, Began: true,
		})
	}
	s.recordDemand("gateway", report)
}

// waitForQuarantine waits until the committed quarantine has the entries.
func waitForQuarantine(t *testing.T, s *Steward, want ...quarantine.Entry) {
	t.Helper()
	var diff string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		diff = cmp.Diff(want, s.quarantine.Entries)
		s.mu.Unlock()
		if diff == "" {
			return
		}
	}
	t.Fatal(diff)
}

// TestQuarantineIsCommittedAndSurvivesRestart has a leader decide on a quarantine, and starts it again.
func TestQuarantineIsCommittedAndSurvivesRestart(t *testing.T) {
	dir, entry := t.TempDir(), quarantine.Entry{Parts: []uint64{7}, Blames: 1, Active: true}
	t.Run("first run", func(t *testing.T) {
		s, ctx := startSteward(t, dir)
		startLeading(ctx, t, s)
		reportCrashes(s, 3, 7)
		waitForQuarantine(t, s, entry)
		snapshot, _ := s.nextSnapshot(&sentView{})
		if !quarantine.FromWire(snapshot.GetQuarantine()).Blocks([]uint64{7}) {
			t.Errorf("a gateway is sent %v", snapshot.GetQuarantine())
		}
	})
	t.Run("second run", func(t *testing.T) {
		s, _ := startSteward(t, dir)
		waitForQuarantine(t, s, entry)
	})
}

// TestSuspectsArePublished checks that gateways are asked about a part before it is quarantined, and that an answer prevents that.
func TestSuspectsArePublished(t *testing.T) {
	s, ctx := startSteward(t, "")
	startLeading(ctx, t, s)
	reportCrashes(s, 3, 7)
	s.recordDemand("other", &wirepb.DemandReport{Answers: []*wirepb.PartAnswer{{Part: 7, AgeMs: 500}}})
	reportCrashes(s, 5, 8)
	waitForQuarantine(t, s, quarantine.Entry{Parts: []uint64{8}, Blames: 1, Active: true})
	var sent sentView
	snapshot, _ := s.nextSnapshot(&sent)
	if diff := cmp.Diff([]uint64{8}, snapshot.GetSuspects()); diff != "" || !snapshot.GetHasSuspects() {
		t.Error(diff)
	}
	if snapshot, _ = s.nextSnapshot(&sent); snapshot.GetHasSuspects() || snapshot.GetQuarantine() != nil {
		t.Errorf("sent again: %v", snapshot)
	}
}

// TestQuarantineChangeAppliesInSequence checks that a change that was computed from an older quarantine does not apply, and that a snapshot
// of the log does.
func TestQuarantineChangeAppliesInSequence(t *testing.T) {
	s, _ := startSteward(t, "")
	first := quarantine.Table{}.WithBlamed([]uint64{7})
	s.applyQuarantine(first.ToWire(), false)
	s.applyQuarantine(quarantine.Table{}.WithBlamed([]uint64{8}).ToWire(), false)
	if diff := cmp.Diff(first, s.quarantine); diff != "" {
		t.Error(diff)
	}
	state, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other, _ := startSteward(t, "")
	if err := other.restore(9, state); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, other.quarantine); diff != "" {
		t.Error(diff)
	}
}

// TestCrashReportsAreBounded checks that gateways can't fill a leader's memory.
func TestCrashReportsAreBounded(t *testing.T) {
	var r crashReports
	report := &wirepb.DemandReport{}
	for n := range 100 {
		report.Crashes = append(report.Crashes, &wirepb.EndpointCrash{Endpoint: "w", Request: fmt.Sprint(n)})
		report.Answers = append(report.Answers, &wirepb.PartAnswer{Part: uint64(n)})
	}
	for n := range 100 {
		for i := range report.GetAnswers() {
			report.Answers[i].Part = uint64(100*n + i)
		}
		r.add(report, time.Now())
	}
	if len(r.crashes) != maxNewCrashes || len(r.answers) != maxNewAnswers {
		t.Errorf("%d crashes, %d answers", len(r.crashes), len(r.answers))
	}
}

// TestTurnNeedsLeader checks that a steward that does not lead grants no turn.
func TestTurnNeedsLeader(t *testing.T) {
	s, ctx := startSteward(t, "")
	request := &wirepb.TurnRequest{Endpoint: "w1", PerSecond: 2}
	if reply := s.handleTurn(context.Background(), request).GetTurnReply(); reply.GetGranted() || reply.GetError() == "" {
		t.Errorf("%v", reply)
	}
	startLeading(ctx, t, s)
	granted := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if reply := s.handleTurn(ctx, request).GetTurnReply(); reply.GetGranted() {
			granted++
		}
	}
	if granted < 1 || granted > 3 {
		t.Errorf("%d turns in a second", granted)
	}
}

// TestTrialIsCommitted checks that a leader allows a trial of a quarantined request only when it is due, to one gateway, and commits it.
func TestTrialIsCommitted(t *testing.T) {
	s, ctx := startSteward(t, "")
	startLeading(ctx, t, s)
	request := &wirepb.TrialRequest{Key: 7}
	if err := s.propose(ctx, &wirepb.StewardChange{Quarantine: s.quarantine.WithBlamedRequest(7).ToWire()}); err != nil {
		t.Fatal(err)
	}
	if reply := s.handleTrial(ctx, request).GetTurnReply(); reply.GetGranted() || reply.GetWaitMs() == 0 {
		t.Errorf("before it is due: %v", reply)
	}
	s.mu.Lock()
	s.trials = quarantine.Trials{}
	s.trials.Update(s.quarantine, time.Now().Add(-time.Minute))
	s.mu.Unlock()
	replies := make(chan *wirepb.TurnReply)
	for range 2 {
		go func() { replies <- s.handleTrial(ctx, request).GetTurnReply() }()
	}
	if first, second := <-replies, <-replies; first.GetGranted() == second.GetGranted() {
		t.Errorf("two gateways: %v, %v", first, second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if trials, found := s.quarantine.TrialsOf(7); trials != 1 || !found {
		t.Errorf("%d trials committed: %v", trials, s.quarantine)
	}
}
