package consensus_test

import (
	"testing"

	"burdocksaddle/consensus"
)

// TestSilenceOutlastsLeaders guards against a lost voter that is never replaced because each new leader counts its silence anew.
func TestSilenceOutlastsLeaders(t *testing.T) {
	silence := func(c *consensus.Core, id uint64) uint64 {
		for _, p := range c.Status().Peers {
			if p.ID == id {
				return p.SilentTicks
			}
		}
		return 0
	}
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	c.Step(consensus.Message{Kind: consensus.KindHeartbeat, From: second, To: self, Term: 4, Absences: []consensus.Absence{
		{Member: third, SilentTicks: 40},
	}})
	drainReady(c)
	advanceTicks(c, 20) // until the first election is due
	term := electLeader(t, c)
	if got := silence(c, third); got > 1 {
		t.Errorf("a leader that has just been elected relies on a silence of %d ticks", got)
	}
	for range 11 {
		c.Tick()
		for _, m := range messagesOfKind(drainReady(c), consensus.KindHeartbeat) {
			if m.To != second {
				continue
			}
			if len(m.Absences) != 1 || m.Absences[0].Member != third || m.Absences[0].SilentTicks < 40 {
				t.Errorf("absences in a heartbeat: %+v", m.Absences)
			}
			c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: second, To: self, Term: term, SentTick: m.SentTick})
		}
		c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: c.Status().Last})
	}
	if got := silence(c, third); got < 65 {
		t.Errorf("silent for %d ticks, want 40 and those since", got)
	}
	c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: third, To: self, Term: term})
	if got := silence(c, third); got != 0 {
		t.Errorf("silent for %d ticks after an answer", got)
	}
}
