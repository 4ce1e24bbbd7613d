package control

import (
	"context"
	"testing"
	"time"

	"burdocksaddle/wirepb"
)

func claimCommand(key string) *wirepb.Command {
	return &wirepb.Command{Kind: &wirepb.Command_ClaimOpen{ClaimOpen: &wirepb.ClaimOpen{Caller: "c", Key: key, RequestId: key, Service: "desk"}}}
}

// TestProposeSaysWhetherItMayStillCommit checks never, unknown and committed under faults.
func TestProposeSaysWhetherItMayStillCommit(t *testing.T) {
	tests := []struct {
		name    string
		through string
		fault   func(*group)
		heal    func(*group)
		never   bool
		claims  int
	}{
		{name: "leader unknown", through: "c2", fault: func(g *group) { g.lead("") }, never: true},
		{name: "leader silent", through: "c2", fault: func(g *group) { g.network.Isolate("c1", true) }, never: true},
		{name: "leader isolated takes it", through: "c1", fault: func(g *group) { g.network.Isolate("c1", true) }},
		{name: "answer lost", through: "c1", fault: func(g *group) { g.with(func() { g.loseAnswers = true }) }, claims: 1},
		{name: "forwarded answer lost", through: "c3", fault: func(g *group) { g.with(func() { g.loseAnswers = true }) }, claims: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				g := newGroup(t, 3)
				defer g.close()
				g.first()
				time.Sleep(testLease)
				test.fault(g)
				_, err := g.members[test.through].Propose(t.Context(), claimCommand("k"))
				notCommitted, ok := AsErrNotCommitted(err)
				if !ok || notCommitted.Never != test.never {
					t.Errorf("got %v, want never %v", err, test.never)
				}
				if claims := g.members["c2"].Dump().Claims; claims != test.claims {
					t.Errorf("%d claims, want %d", claims, test.claims)
				}
			})
		})
	}
}

// TestResendGetsFirstResult loses the first answers and wants the first result through every member.
func TestResendGetsFirstResult(t *testing.T) {
	for _, through := range []string{"c1", "c2"} {
		bubble(t, func(t *testing.T) {
			g := newGroup(t, 3)
			defer g.close()
			g.first()
			g.with(func() { g.loseAnswers = true })
			time.AfterFunc(tryTimeout/2, func() {
				g.with(func() { g.loseAnswers, g.leader = false, "c3" })
			})
			command := claimCommand("k")
			command.Proposal = "p"
			first, err := g.members[through].Propose(t.Context(), command)
			if err != nil || !first.GetClaim().GetFresh() {
				t.Fatalf("through %s: %v %v", through, first, err)
			}
			again, err := g.members["c1"].Propose(t.Context(), command)
			if err != nil || again.GetClaim().GetClaim() != first.GetClaim().GetClaim() || !again.GetClaim().GetFresh() {
				t.Errorf("first %v, again %v, %v", first, again, err)
			}
			if claims := g.members["c3"].Dump().Claims; claims != 1 {
				t.Errorf("%d claims", claims)
			}
		})
	}
}

// TestForwardedOnce hands a passed-on command to a follower, which must refuse it for good.
func TestForwardedOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		frame := g.members["c2"].Forward(t.Context(), &wirepb.Propose{Command: claimCommand("k"), Forwarded: true})
		if reply := frame.GetProposeReply(); reply.GetCommitted() || !reply.GetNever() {
			t.Errorf("got %v", reply)
		}
	})
}

// TestRelayed tells demand and reports to a follower and wants them at the leader.
func TestRelayed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.first()
		registered := g.members["c2"].Register(t.Context(), &wirepb.Register{Endpoint: "e", Service: "assist", Process: "p", MemoryMb: 100, Slots: 1}).GetRegistered()
		if registered.GetIncarnation() == 0 {
			t.Fatal(registered)
		}
		call := func(frame *wirepb.Frame) *wirepb.Frame {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			reply, err := g.pool("entry").Call(ctx, "c2", frame, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			return reply
		}
		demand := &wirepb.Demand{Entry: "n", Models: []*wirepb.ModelDemand{{Model: "m0", Waiting: 1, EarliestRemainingMs: 5000}}}
		if reply := call(&wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: demand}}); reply.GetDemandReply() == nil {
			t.Errorf("demand answered with %v", reply)
		}
		report := &wirepb.Report{Endpoint: "e", Incarnation: registered.GetIncarnation()}
		if reply := call(&wirepb.Frame{Body: &wirepb.Frame_Report{Report: report}}); !reply.GetProposeReply().GetCommitted() {
			t.Errorf("report answered with %v", reply)
		}
		time.Sleep(time.Second)
		if replicas := g.members["c3"].Dump().Replicas; len(replicas) != 1 {
			t.Errorf("the leader decided %v", replicas)
		}
	})
}
