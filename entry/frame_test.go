package entry_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// scriptedAgent is an agent whose replies are set by the test.
type scriptedAgent struct {
	mu          sync.Mutex
	dispatches  []*wirepb.Dispatch
	incarnation uint64
	dispatch    func(n int, d *wirepb.Dispatch, send func(*wirepb.Frame))
	enquiry     func(n int, e *wirepb.Enquiry) *wirepb.Outcome
	enquiries   int
}

// addScriptedAgent registers a scripted agent and waits until the first entry knows it.
func (c *cluster) addScriptedAgent(agent *scriptedAgent) {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		c.t.Fatal(err)
	}
	ended := wire.Serve(c.ctx, listener, wire.Handlers{Dispatch: agent.serve, Enquiry: agent.enquire})
	c.scriptedAgentsEnded = append(c.scriptedAgentsEnded, ended)
	pool := wire.NewPool()
	c.t.Cleanup(pool.Close)
	reply, err := pool.Call(c.ctx, c.control, &wirepb.Frame{Body: &wirepb.Frame_Register{Register: &wirepb.Register{
		Endpoint: "script", Service: plainService, DataCentre: "dc", Address: listener.Addr().String(), Process: "p", Slots: 4,
	}}}, 5*time.Second)
	if err != nil {
		c.t.Fatal(err)
	}
	agent.mu.Lock()
	agent.incarnation = reply.GetRegistered().GetIncarnation()
	agent.mu.Unlock()
	c.await("scripted agent known to the entry", func() bool { return len(c.entries[0].Dump().Endpoints) == 1 })
}

func (a *scriptedAgent) serve(_ context.Context, first *wirepb.Frame, stream *wire.Stream) {
	a.mu.Lock()
	a.dispatches = append(a.dispatches, first.GetDispatch())
	n, dispatch := len(a.dispatches), a.dispatch
	a.mu.Unlock()
	dispatch(n, first.GetDispatch(), func(frame *wirepb.Frame) { _ = stream.Send(frame, time.Second) })
}

// setDispatch sets the dispatch handler for a new test case and clears the recorded dispatches.
func (a *scriptedAgent) setDispatch(dispatch func(int, *wirepb.Dispatch, func(*wirepb.Frame))) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatches, a.dispatch = nil, dispatch
}

func (a *scriptedAgent) dispatchCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.dispatches)
}

func (a *scriptedAgent) enquire(_ context.Context, e *wirepb.Enquiry) *wirepb.Frame {
	a.mu.Lock()
	a.enquiries++
	n, incarnation := a.enquiries, a.incarnation
	a.mu.Unlock()
	outcome := a.enquiry(n, e)
	if outcome.GetIncarnation() == 0 {
		outcome.Incarnation = incarnation
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Outcome{Outcome: outcome}}
}

func started(d *wirepb.Dispatch) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Started{Started: &wirepb.Started{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Status: 200}}}
}

func chunk(d *wirepb.Dispatch, offset uint64, data string) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Offset: offset, Data: []byte(data)}}}
}

func end(d *wirepb.Dispatch, chunks uint64) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_End{End: &wirepb.End{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Chunks: chunks, Status: 200}}}
}

func refused(d *wirepb.Dispatch, run wirepb.Run) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Refused{Refused: &wirepb.Refused{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Run: run, Code: "EndpointFailed"}}}
}

// sendComplete sends a complete, valid response.
func sendComplete(d *wirepb.Dispatch, send func(*wirepb.Frame)) {
	for _, frame := range []*wirepb.Frame{started(d), chunk(d, 0, "a"), chunk(d, 1, "b"), chunk(d, 2, "c"), end(d, 3)} {
		send(frame)
	}
}

type frames []*wirepb.Frame

// TestFrameValidation answers the first dispatch with invalid sequences of frames. The caller must receive each chunk
// once, if necessary through a resume.
func TestFrameValidation(t *testing.T) {
	t.Parallel()
	other := &wirepb.Dispatch{RequestId: "another", Attempt: 256}
	earlierAttempt := func(d *wirepb.Dispatch) *wirepb.Dispatch {
		return &wirepb.Dispatch{RequestId: d.GetRequestId(), Attempt: d.GetAttempt() - 1}
	}
	tests := []struct {
		name       string
		frames     func(d *wirepb.Dispatch) frames
		dispatches int
	}{
		{"valid", func(d *wirepb.Dispatch) frames {
			return frames{started(d), chunk(d, 0, "a"), chunk(d, 1, "b"), chunk(d, 2, "c"), end(d, 3)}
		}, 1},
		{"duplicate", func(d *wirepb.Dispatch) frames {
			return frames{started(d), chunk(d, 0, "a"), chunk(d, 0, "a"), chunk(d, 1, "b"), chunk(d, 2, "c"), chunk(d, 1, "b"), end(d, 3)}
		}, 1},
		{"frames of another request", func(d *wirepb.Dispatch) frames {
			return frames{started(other), started(d), chunk(other, 0, "x"), chunk(d, 0, "a"), chunk(other, 1, "x"), chunk(d, 1, "b"), refused(other, wirepb.Run_RUN_NOT_RUN), end(other, 1), chunk(d, 2, "c"), end(d, 3)}
		}, 1},
		{"frames of an earlier attempt", func(d *wirepb.Dispatch) frames {
			return frames{started(d), chunk(earlierAttempt(d), 0, "x"), chunk(d, 0, "a"), end(earlierAttempt(d), 1), chunk(d, 1, "b"), chunk(d, 2, "c"), end(d, 3)}
		}, 1},
		{"frames outside the response", func(d *wirepb.Dispatch) frames {
			return frames{{Body: &wirepb.Frame_Pong{}}, started(d), {}, chunk(d, 0, "a"), chunk(d, 1, "b"), chunk(d, 2, "c"), end(d, 3)}
		}, 1},
		{"reordered", func(d *wirepb.Dispatch) frames {
			return frames{started(d), chunk(d, 1, "b"), chunk(d, 0, "a"), chunk(d, 2, "c"), end(d, 3)}
		}, 2},
		{"gap", func(d *wirepb.Dispatch) frames {
			return frames{started(d), chunk(d, 0, "a"), chunk(d, 2, "c"), end(d, 3)}
		}, 2},
		{"truncated", func(d *wirepb.Dispatch) frames { return frames{started(d), chunk(d, 0, "a"), chunk(d, 1, "b")} }, 2},
		{"end before the last chunk", func(d *wirepb.Dispatch) frames {
			return frames{started(d), chunk(d, 0, "a"), chunk(d, 1, "b"), end(d, 3)}
		}, 2},
		{"refused, not run", func(d *wirepb.Dispatch) frames { return frames{refused(d, wirepb.Run_RUN_NOT_RUN)} }, 2},
		{"failed during the response", func(d *wirepb.Dispatch) frames {
			return frames{started(d), chunk(d, 0, "a"), refused(d, wirepb.Run_RUN_UNKNOWN)}
		}, 2},
		{"no frames", func(*wirepb.Dispatch) frames { return nil }, 2},
	}
	c := newCluster(t, clusterConfig{entries: 1})
	s := &scriptedAgent{}
	c.addScriptedAgent(s)
	for _, test := range tests {
		for _, stream := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				s.setDispatch(func(n int, d *wirepb.Dispatch, send func(*wirepb.Frame)) {
					if n > 1 {
						sendComplete(d, send)
						return
					}
					for _, frame := range test.frames(d) {
						send(frame)
					}
				})
				r := newStockRequest(c.newRequestID())
				r.Stream = stream
				got := c.serve(t.Context(), 0, r)
				want := []any{"Answered", "abc", test.dispatches}
				if diff := cmp.Diff(want, []any{got.outcomeName(), got.body, s.dispatchCount()}); diff != "" {
					t.Errorf("%v\n%s", got.err, diff)
				}
			})
		}
	}
}

// TestClaimOutcomeByEnquiry leaves the dispatch of a booking unanswered. The caller and a retry must get the outcome that
// the agent reports on enquiry.
func TestClaimOutcomeByEnquiry(t *testing.T) {
	outcome := func(states ...wirepb.Outcome_State) func(int, *wirepb.Enquiry) *wirepb.Outcome {
		return func(n int, _ *wirepb.Enquiry) *wirepb.Outcome {
			o := &wirepb.Outcome{State: states[min(n, len(states))-1]}
			if o.GetState() == wirepb.Outcome_STATE_DONE {
				o.Answer = &wirepb.Answer{Status: 200, Body: []byte("abc")}
			}
			return o
		}
	}
	tests := []struct {
		name       string
		enquiry    func(int, *wirepb.Enquiry) *wirepb.Outcome
		run        string
		body       string
		dispatches int
	}{
		{"done", outcome(wirepb.Outcome_STATE_DONE), "Answered", "abc", 1},
		{"running, then done", outcome(wirepb.Outcome_STATE_RUNNING, wirepb.Outcome_STATE_RUNNING, wirepb.Outcome_STATE_DONE), "Answered", "abc", 1},
		{"running until the deadline", outcome(wirepb.Outcome_STATE_RUNNING), "Unknown", "", 1},
		{"tombstoned, then run", outcome(wirepb.Outcome_STATE_TOMBSTONED, wirepb.Outcome_STATE_DONE), "Answered", "abc", 2},
		{"failed", outcome(wirepb.Outcome_STATE_FAILED), "Unknown", "", 1},
		{"unknown to the agent", outcome(wirepb.Outcome_STATE_UNKNOWN), "Unknown", "", 1},
		{"another incarnation", func(int, *wirepb.Enquiry) *wirepb.Outcome {
			return &wirepb.Outcome{State: wirepb.Outcome_STATE_TOMBSTONED, Incarnation: 1 << 40}
		}, "Unknown", "", 1},
		{"done, answer not kept", func(int, *wirepb.Enquiry) *wirepb.Outcome {
			return &wirepb.Outcome{State: wirepb.Outcome_STATE_DONE}
		}, "Ran", "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterConfig{entries: 1})
			claims := map[uint64]int{}
			s := &scriptedAgent{enquiry: test.enquiry, dispatch: func(n int, d *wirepb.Dispatch, send func(*wirepb.Frame)) {
				claims[d.GetClaim()]++
				if n > 1 {
					sendComplete(d, send)
				}
			}}
			c.addScriptedAgent(s)
			got := c.book(t.Context(), 0, "key", 3*time.Second)
			retry := c.book(t.Context(), 0, "key", 3*time.Second)
			want := []any{test.run, test.body, test.run, test.body, test.dispatches}
			if diff := cmp.Diff(want, []any{got.outcomeName(), got.body, retry.outcomeName(), retry.body, len(s.dispatches)}); diff != "" {
				t.Errorf("%v, %v\n%s", got.err, retry.err, diff)
			}
			for claim, dispatches := range claims {
				if claim == 0 || dispatches != 1 {
					t.Errorf("claim %d was dispatched %d times", claim, dispatches)
				}
			}
		})
	}
}

// TestWithoutQuorum disconnects the entries from control. The run state that a caller receives for a booking must be
// correct for its key.
func TestWithoutQuorum(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, services: 1})
	if got := c.book(t.Context(), 0, "before", longDeadline); got.err != nil {
		t.Fatal(got.err)
	}
	c.network.setRefused(c.control, true)
	c.network.dropTraffic(c.control)
	keyless := newStockRequest(c.newRequestID())
	keyless.Method, keyless.Repeatable, keyless.IdempotencyKey = "POST", false, keyless.ID
	outcomes := []string{
		c.serve(t.Context(), 0, keyless).outcomeName(),
		c.book(t.Context(), 1, "before", longDeadline).outcomeName(),
		c.book(t.Context(), 1, "fresh", longDeadline).outcomeName(),
	}
	// If the caller chose the key, an earlier request may have run, and the ledger can't be queried.
	want := []any{[]string{"NotRun", "Unknown", "Unknown"}, 1, 0, 0}
	if diff := cmp.Diff(want, []any{outcomes, c.runCount("before"), c.runCount("fresh"), c.runCount(keyless.IdempotencyKey)}); diff != "" {
		t.Error(diff)
	}
	c.network.setRefused(c.control, false)
	c.await("entry ready again", c.entries[1].Ready)
	if got := c.book(t.Context(), 1, "before", longDeadline); got.outcomeName() != "Answered" || c.runCount("before") != 1 {
		t.Errorf("%v, %d runs", got.err, c.runCount("before"))
	}
}
