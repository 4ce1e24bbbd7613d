package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quarantine"
	"burdocksaddle/wirepb"
)

// quarantineParts makes a gateway refuse prompts with all of the parts, as a leader's snapshot does.
func (b *testGateway) quarantineParts(parts ...uint64) {
	table := quarantine.Table{Revision: b.crashes.table.Revision}.WithBlamed(parts)
	b.applySnapshot("steward", &wirepb.Snapshot{Leads: true, Proven: true, Quarantine: table.ToWire()})
}

// quarantineRequest makes a gateway refuse requests with the key that tests use, as a leader's snapshot does.
func (b *testGateway) quarantineRequest() {
	table := quarantine.Table{Revision: b.crashes.table.Revision}.WithBlamedRequest(testKey)
	b.applySnapshot("steward", &wirepb.Snapshot{Leads: true, Proven: true, Quarantine: table.ToWire()})
}

// TestRepeatedRequestIsRefusedAtOnce checks that a quarantined request reaches no endpoint of a plain service, whatever state it is in.
func TestRepeatedRequestIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		path string
		// after is when the request is quarantined, after it has arrived; 0 means before.
		after  time.Duration
		calls  int
		status int
	}{
		"on arrival": {"/read/a", 0, 0, 503},
		"while the endpoint runs what may be repeated": {"/read/a", 100 * time.Millisecond, 1, 502},
		"while the endpoint runs what may not":         {"/book/a", 100 * time.Millisecond, 1, 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(ctx context.Context, _ Call) (*Response, error) {
					<-ctx.Done()
					return nil, ErrIncompleteResponse{Endpoint: "w1", Cause: ctx.Err()}
				}, plainEndpoint("w1"))
				if test.after == 0 {
					b.quarantineRequest()
				} else {
					time.AfterFunc(test.after, b.quarantineRequest)
				}
				got := b.doRequest(t.Context(), test.path, "", time.Second)
				if got.Status != test.status || got.Took != test.after || len(b.calls) != test.calls || got.Status == 503 && got.After == 0 {
					t.Errorf("%d calls, %+v", len(b.calls), got)
				}
			})
		})
	}
}

// TestCrashOfPlainEndpointIsReported checks that the leader learns which request was at a plain service's endpoint when that crashed.
func TestCrashOfPlainEndpointIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
			return nil, ErrIncompleteResponse{Endpoint: call.Endpoint, Cause: io.ErrUnexpectedEOF}
		}, plainEndpoint("w1"), plainEndpoint("w2"))
		b.hasStopped = func(context.Context, string) bool { return true }
		ctx, cancel := context.WithCancel(t.Context())
		ended := b.runCrashChecks(ctx)
		b.doRequest(t.Context(), "/read/a", "", time.Second)
		synctest.Wait()
		cancel()
		<-ended
		report := &wirepb.DemandReport{}
		b.crashes.fillReport(report, time.Now())()
		var keys []uint64
		endpoints := map[string]bool{}
		for _, c := range report.GetCrashes() {
			keys = append(keys, c.GetKey())
			endpoints[c.GetService()+" "+c.GetEndpoint()] = true
		}
		if diff := cmp.Diff([]uint64{testKey, testKey}, keys); diff != "" || !endpoints["desk w1"] || !endpoints["desk w2"] {
			t.Error(diff, endpoints)
		}
	})
}

// TestRememberedAnswersAreBounded checks that answers to many different requests don't take ever more memory, and that those the leader asks about
// are remembered all the same.
func TestRememberedAnswersAreBounded(t *testing.T) {
	r, now := newCrashRecord(), time.Now()
	r.suspects = []uint64{1}
	for key := range uint64(2 * maxAnswers) {
		r.recordKeyAnswer(key+10, now)
	}
	r.recordKeyAnswer(1, now)
	if _, known := r.answeredAt[1]; !known || len(r.answeredAt) != maxAnswers+1 {
		t.Errorf("%d answers, the one asked for is known: %t", len(r.answeredAt), known)
	}
}

// TestQuarantinedRequestIsRefusedAtOnce checks that a request with a quarantined part reaches no endpoint, whatever state it is in.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	hanging := func(ctx context.Context, _ Call) (*Response, error) {
		<-ctx.Done()
		return nil, ErrIncompleteResponse{Endpoint: "w1", Cause: ctx.Err()}
	}
	refused := clientResult{Status: 503, Refused: true, After: quarantine.Duration}
	tests := map[string]struct {
		model string
		// after is when the part is quarantined, after the request has arrived; 0 means before.
		after time.Duration
		calls int
		want  clientResult
	}{
		"on arrival":              {testModel, 0, 0, refused},
		"while it waits":          {"absent", time.Second, 0, refused},
		"while the endpoint runs": {testModel, time.Second / 2, 1, clientResult{Status: 502, Refused: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, hanging, engineEndpoint("w1", testModel))
				if test.after == 0 {
					b.quarantineParts(7)
				} else {
					time.AfterFunc(test.after, func() { b.quarantineParts(7) })
				}
				got := b.doRequest(t.Context(), "/live/a", test.model, 8*time.Second, 1, 7)
				got.Took = 0
				if diff := cmp.Diff(test.want, got); diff != "" || len(b.calls) != test.calls {
					t.Error(len(b.calls), diff)
				}
				if _, _, ok := b.chooseLocked(&Request{Model: testModel}, "engines", nil, nil, time.Now()); !ok {
					t.Error("the endpoint is avoided for a request that the gateway itself ended")
				}
			})
		})
	}
}

// TestQuarantineSparesBegunStream checks that a stream with events goes on, since its prompt hasn't crashed the endpoint.
func TestQuarantineSparesBegunStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(ctx context.Context, _ Call) (*Response, error) {
			response := streamResponse(4, io.EOF)
			next := response.Next
			response.Next = func() ([]byte, string, error) {
				time.Sleep(100 * time.Millisecond)
				if ctx.Err() != nil {
					return nil, "", ErrIncompleteResponse{Endpoint: "w1", Cause: ctx.Err()}
				}
				return next()
			}
			return response, nil
		}, engineEndpoint("w1", testModel))
		time.AfterFunc(250*time.Millisecond, func() { b.quarantineParts(7) })
		got := b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second, 7)
		if got.Status != 200 || got.Events != 4 {
			t.Errorf("%+v", got)
		}
	})
}

// TestCrashReport checks what a gateway reports to the leader after an attempt has broken off.
func TestCrashReport(t *testing.T) {
	tests := map[string]struct {
		events  int
		stopped bool
		parts   []uint64
		want    []*wirepb.EndpointCrash
	}{
		"crashed before the first event": {0, true, []uint64{5, 7}, []*wirepb.EndpointCrash{{Endpoint: "w1", Request: "r1", Parts: []uint64{7}, Began: true, Service: "engines", Key: testKey}}},
		"crashed after events":           {2, true, []uint64{5, 7}, []*wirepb.EndpointCrash{{Endpoint: "w1", Request: "r1", Parts: []uint64{7}, Service: "engines"}}},
		"still listens":                  {0, false, []uint64{5, 7}, nil},
		"all parts were answered":        {0, true, []uint64{5}, []*wirepb.EndpointCrash{{Endpoint: "w1", Request: "r1", Began: true, Service: "engines", Key: testKey}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(test.events, errCrash), nil }, engineEndpoint("w1", testModel))
				b.hasStopped = func(context.Context, string) bool { return test.stopped }
				b.crashes.answeredAt[5] = time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				ended := b.runCrashChecks(ctx)
				b.doRequest(t.Context(), "/draft/a", testModel, 8*time.Second, test.parts...)
				time.Sleep(2 * stopCheckDelay)
				cancel()
				<-ended
				report := &wirepb.DemandReport{}
				b.crashes.fillReport(report, time.Now())()
				for _, c := range report.GetCrashes() {
					c.AgeMs, c.RanMs = 0, 0
				}
				if diff := cmp.Diff(test.want, report.GetCrashes(), cmp.Comparer(func(a, b *wirepb.EndpointCrash) bool { return a.String() == b.String() })); diff != "" {
					t.Error(diff)
				}
				report = &wirepb.DemandReport{}
				if b.crashes.fillReport(report, time.Now()); len(report.GetCrashes()) > 0 {
					t.Errorf("reported twice to the same leader: %v", report)
				}
				b.crashes.forgetLeader()
				if b.crashes.fillReport(report, time.Now()); len(report.GetCrashes()) != len(test.want) {
					t.Errorf("a new leader is told of %d crashes", len(report.GetCrashes()))
				}
			})
		})
	}
}

// TestAnswersAreReportedWhereAsked checks that the leader learns of answers to the parts that it asks about, and of no others.
func TestAnswersAreReportedWhereAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil }, engineEndpoint("w1", testModel))
		b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second, 5, 7)
		b.applySnapshot("steward", &wirepb.Snapshot{Leads: true, HasSuspects: true, Suspects: []uint64{7, 8}})
		time.Sleep(time.Second)
		report := &wirepb.DemandReport{}
		b.crashes.fillReport(report, time.Now())()
		if answers := report.GetAnswers(); len(answers) != 1 || answers[0].GetPart() != 7 || answers[0].GetAgeMs() != 1000 {
			t.Errorf("%v", answers)
		}
		report = &wirepb.DemandReport{}
		if b.crashes.fillReport(report, time.Now()); len(report.GetAnswers()) > 0 {
			t.Errorf("reported twice to the same leader: %v", report)
		}
		b.crashes.forgetLeader()
		b.applySnapshot("other", &wirepb.Snapshot{Leads: true, HasSuspects: true, Suspects: []uint64{7}})
		if b.crashes.fillReport(report, time.Now()); len(report.GetAnswers()) != 1 {
			t.Errorf("a new leader is told %v", report)
		}
		time.Sleep(quarantine.AnswerTTL)
		report = &wirepb.DemandReport{}
		if b.crashes.fillReport(report, time.Now()); len(report.GetAnswers()) > 0 {
			t.Errorf("an old answer is reported: %v", report)
		}
	})
}

// TestOutdatedQuarantineIsIgnored checks that a steward that lags behind does not take a quarantine back, but that a leader can.
func TestOutdatedQuarantineIsIgnored(t *testing.T) {
	b := newTestGateway(t, nil)
	b.quarantineParts(7)
	older := quarantine.Table{}.ToWire()
	b.applySnapshot("other", &wirepb.Snapshot{Proven: true, Quarantine: older})
	if !b.crashes.table.Blocks([]uint64{7}) {
		t.Error("taken back by a steward that does not lead")
	}
	b.applySnapshot("steward", &wirepb.Snapshot{Leads: true, Proven: true, Quarantine: older})
	if b.crashes.table.Blocks([]uint64{7}) {
		t.Error("not taken back by the leader")
	}
}

// TestQuarantinedRequestIsTriedOnce checks that a gateway sends one attempt of a quarantined request if the leader allows that, and no other one.
func TestQuarantinedRequestIsTriedOnce(t *testing.T) {
	tests := map[string]struct {
		granted bool
		calls   int
		status  int
	}{
		"granted": {true, 1, 502},
		"denied":  {false, 0, 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
					return nil, ErrIncompleteResponse{Endpoint: call.Endpoint, Cause: io.ErrUnexpectedEOF}
				}, plainEndpoint("w1"), plainEndpoint("w2"))
				asked := 0
				b.askTrial = func(_ context.Context, leader string, request *wirepb.TrialRequest) (*wirepb.TurnReply, error) {
					asked++
					return &wirepb.TurnReply{Granted: test.granted && leader == "steward" && request.GetKey() == testKey}, nil
				}
				b.quarantineRequest()
				if got := b.doRequest(t.Context(), "/read/a", "", time.Second); got.Status != 503 || got.After < 5*time.Second || asked > 0 {
					t.Errorf("before a trial is due: asked %d times, %+v", asked, got)
				}
				time.Sleep(time.Minute)
				if got := b.doRequest(t.Context(), "/read/a", "", time.Second); got.Status != test.status || len(b.calls) != test.calls {
					t.Errorf("%d calls, %+v", len(b.calls), got)
				}
				if got := b.doRequest(t.Context(), "/read/a", "", time.Second); got.Status != 503 || asked != 1 {
					t.Errorf("right after that: asked %d times, %+v", asked, got)
				}
			})
		})
	}
}
