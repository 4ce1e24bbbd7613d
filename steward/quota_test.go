package steward

import (
	"context"
	"testing"
	"time"

	"burdocksaddle/quota"
	"burdocksaddle/route"
	"burdocksaddle/team"
	"burdocksaddle/wirepb"
)

// decodeTeams decodes a table that has only a limited team.
func decodeTeams([]byte) (*route.Table, error) {
	teams, err := team.NewDirectory([]team.Definition{{Team: team.Team{Name: "press", Cap: team.Cap{PerSecond: 1000, Burst: 2000, CountsTokens: true}}}})
	if err != nil {
		return nil, err
	}
	return route.New(1, nil, nil, route.Limits{}, route.WithTeams(teams))
}

func askQuota(ctx context.Context, s *Steward, asks ...quota.TeamAsk) *wirepb.QuotaReply {
	return s.handleQuota(ctx, quota.EncodeAsks("g", asks)).GetQuotaReply()
}

// TestQuotaOfALeader guards against a leader that lends beyond a limit, keeps buckets across terms, or limits teams without a limit.
func TestQuotaOfALeader(t *testing.T) {
	s, ctx := startSteward(t, "")
	s.decodeTable = decodeTeams
	startLeading(ctx, t, s)
	s.mu.Lock()
	s.quotas.since = time.Now().Add(-time.Minute) // its buckets are full
	s.mu.Unlock()
	press := quota.TeamAsk{Team: "press", Ask: quota.Ask{Requests: []float64{1500, 1000}}}
	free := quota.TeamAsk{Team: "free", Ask: quota.Ask{Ahead: 10, Requests: []float64{1e9}}}
	reply := askQuota(ctx, s, press, free)
	answers, ok := quota.DecodeAnswers([]quota.TeamAsk{press, free}, reply)
	if !ok || answers[0].Waits[0] != 0 || answers[0].Waits[1] < 400*time.Millisecond || answers[0].Waits[1] > 501*time.Millisecond || answers[1].Ahead != 10 || answers[1].Waits[0] != 0 {
		t.Errorf("%+v %v", answers, reply)
	}
	s.mu.Lock()
	s.quotas.term--
	s.mu.Unlock()
	if answers, _ := quota.DecodeAnswers([]quota.TeamAsk{press}, askQuota(ctx, s, press)); answers[0].Waits[0] == 0 {
		t.Error("a new term began with a bucket that was not empty")
	}
}

// TestNoQuotaWithoutQuorum guards against a steward that lends although another one may lead.
func TestNoQuotaWithoutQuorum(t *testing.T) {
	s, ctx := startSteward(t, "")
	s.decodeTable = decodeTeams
	startLeading(ctx, t, s)
	s.quorumCheck <- struct{}{} // a check of the quorum that hangs
	if reply := askQuota(ctx, s, quota.TeamAsk{Team: "press"}); reply.GetError() == "" || len(reply.GetGrants()) > 0 {
		t.Errorf("%v", reply)
	}
	<-s.quorumCheck
}
