package steward

import (
	"context"
	"fmt"
	"time"

	"burdocksaddle/quota"
	"burdocksaddle/team"
	"burdocksaddle/wirepb"
)

// maxQuotaEntries limits the entries of a gateway's call; more are not answered.
const maxQuotaEntries = 8192

// quotaBuckets are the buckets of all teams in one term of this leader.
type quotaBuckets struct {
	term    uint64
	since   time.Time
	buckets map[string]*quota.Bucket
}

// resetQuotaLocked empties all buckets, since another leader may have lent from them.
func (s *Steward) resetQuotaLocked(now time.Time) {
	s.quotas = quotaBuckets{term: s.quorumLog.Term(), since: now, buckets: map[string]*quota.Bucket{}}
}

// handleQuota lends parts of teams' rate limits to a gateway. The quorum proof excludes that another leader lends the same.
func (s *Steward) handleQuota(ctx context.Context, request *wirepb.QuotaRequest) *wirepb.Frame {
	reply := &wirepb.QuotaReply{}
	switch _, self := s.quorumLog.Leader(); {
	case !self:
		reply.Error = "this steward does not lead"
	case len(request.GetTeams()) > maxQuotaEntries:
		reply.Error = "the call has too many entries"
	case !s.verifyQuorum(ctx):
		reply.Error = "this steward has no quorum"
	default:
		reply = s.lendQuota(request, time.Now())
	}
	return &wirepb.Frame{Body: &wirepb.Frame_QuotaReply{QuotaReply: reply}}
}

func (s *Steward) lendQuota(request *wirepb.QuotaRequest, now time.Time) *wirepb.QuotaReply {
	asks := quota.DecodeAsks(request)
	answers := make([]quota.Answer, len(asks))
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, self := s.quorumLog.Leader(); !self || s.table == nil {
		return &wirepb.QuotaReply{Error: "this steward does not lead"}
	}
	if s.quotas.buckets == nil || s.quotas.term != s.quorumLog.Term() {
		s.resetQuotaLocked(now)
	}
	for i, ask := range asks {
		bucket := s.quotaBucketLocked(ask.Team, now)
		if bucket == nil {
			answers[i] = quota.Answer{Ahead: ask.Ahead, Waits: make([]time.Duration, len(ask.Requests))} // no limit is in force
			continue
		}
		answers[i] = bucket.Take(request.GetGateway(), ask.Ask, now)
		s.recordQuota(request.GetGateway(), ask, answers[i], bucket.Level(now))
	}
	return quota.EncodeAnswers(asks, answers)
}

// quotaBucketLocked returns a team's bucket, or nil if the table in force does not limit it.
func (s *Steward) quotaBucketLocked(name string, now time.Time) *quota.Bucket {
	var found team.Team
	if s.table.Teams != nil {
		found, _ = s.table.Teams.Team(name)
	}
	if !found.Cap.Limited() {
		delete(s.quotas.buckets, name)
		return nil
	}
	bucket := s.quotas.buckets[name]
	if bucket == nil {
		bucket = quota.NewBucket(s.config.Quota, found.Cap, s.quotas.since)
		s.quotas.buckets[name] = bucket
	}
	bucket.SetCap(found.Cap, now)
	return bucket
}

// recordQuota counts what was granted and logs what was not.
func (s *Steward) recordQuota(gateway string, ask quota.TeamAsk, answer quota.Answer, level float64) {
	denied, longest := 0, time.Duration(0)
	for _, wait := range answer.Waits {
		if wait > 0 {
			denied++
			longest = max(longest, wait)
		}
	}
	s.metrics.GetOrCreateCounter(fmt.Sprintf("%s{granted=%q}", metricQuotaRequests, "true")).Add(len(answer.Waits) - denied)
	s.metrics.GetOrCreateCounter(fmt.Sprintf("%s{granted=%q}", metricQuotaRequests, "false")).Add(denied)
	if denied > 0 {
		s.log.Info("team limit used up", "team", ask.Team, "gateway", gateway, "denied", denied, "granted", len(answer.Waits)-denied,
			"level", int64(level), "waitMs", longest.Milliseconds(), "version", s.tableVersion)
	}
}
