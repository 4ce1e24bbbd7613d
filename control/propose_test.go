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

// TestProposeReportsWhetherCommitIsPossible injects faults and checks whether Propose reports that the command will
// never be committed or that the outcome is unknown.
func TestProposeReportsWhetherCommitIsPossible(t *testing.T) {
	tests := []struct {
		name    string
		through string
		fault   func(*testGroup)
		heal    func(*testGroup)
		never   bool
		claims  int
	}{
		{name: "leader unknown", through: "c2", fault: func(g *testGroup) { g.setLeader("") }, never: true},
		{name: "leader unreachable", through: "c2", fault: func(g *testGroup) { g.network.SetIsolated("c1", true) }, never: true},
		{name: "isolated leader accepts the command", through: "c1", fault: func(g *testGroup) { g.network.SetIsolated("c1", true) }},
		{name: "reply lost", through: "c1", fault: func(g *testGroup) { g.updateFaults(func() { g.dropReplies = true }) }, claims: 1},
		{name: "reply to forwarded command lost", through: "c3", fault: func(g *testGroup) { g.updateFaults(func() { g.dropReplies = true }) }, claims: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSynctest(t, func(t *testing.T) {
				g := newTestGroup(t, 3)
				defer g.close()
				g.setInitialCatalog()
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

// TestResendGetsFirstResult drops the first replies. The retry must get the first result through every member.
func TestResendGetsFirstResult(t *testing.T) {
	for _, through := range []string{"c1", "c2"} {
		runSynctest(t, func(t *testing.T) {
			g := newTestGroup(t, 3)
			defer g.close()
			g.setInitialCatalog()
			g.updateFaults(func() { g.dropReplies = true })
			time.AfterFunc(attemptTimeout/2, func() {
				g.updateFaults(func() { g.dropReplies, g.leader = false, "c3" })
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

// TestForwardedCommandNotForwardedAgain sends a forwarded command to a follower, which must refuse it permanently.
func TestForwardedCommandNotForwardedAgain(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		g := newTestGroup(t, 3)
		defer g.close()
		frame := g.members["c2"].HandlePropose(t.Context(), &wirepb.Propose{Command: claimCommand("k"), Forwarded: true})
		if reply := frame.GetProposeReply(); reply.GetCommitted() || !reply.GetNever() {
			t.Errorf("got %v", reply)
		}
	})
}

// TestDemandAndReportForwardedToLeader sends demand and reports to a follower, which must forward them to the leader.
func TestDemandAndReportForwardedToLeader(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		g := newTestGroup(t, 3)
		defer g.close()
		g.setInitialCatalog()
		registered := g.members["c2"].HandleRegister(t.Context(), &wirepb.Register{Endpoint: "e", Service: "assist", Process: "p", MemoryMb: 100, Slots: 1}).GetRegistered()
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
			t.Errorf("got replica decisions %v on the leader, want one", replicas)
		}
	})
}
