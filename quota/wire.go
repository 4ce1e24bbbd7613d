package quota

import (
	"math"
	"time"

	"burdocksaddle/wirepb"
)

// TeamAsk is what a gateway wants for one team.
type TeamAsk struct {
	Team string
	Ask
}

// TeamAnswer is the leader's answer to a TeamAsk.
type TeamAnswer struct {
	Team string
	Answer
}

// EncodeAsks encodes a gateway's call. The first entry of a team has its lease and what it wants ahead, each further one a request.
func EncodeAsks(gateway string, asks []TeamAsk) *wirepb.QuotaRequest {
	request := &wirepb.QuotaRequest{Gateway: gateway}
	for _, a := range asks {
		request.Teams = append(request.Teams, &wirepb.QuotaNeed{Team: a.Team, Needed: a.Ahead, PerSecond: a.PerSecond})
		for _, amount := range a.Requests {
			request.Teams = append(request.Teams, &wirepb.QuotaNeed{Team: a.Team, Needed: amount})
		}
	}
	return request
}

// DecodeAsks decodes a gateway's call.
func DecodeAsks(request *wirepb.QuotaRequest) []TeamAsk {
	var asks []TeamAsk
	for _, need := range request.GetTeams() {
		if last := len(asks) - 1; last >= 0 && asks[last].Team == need.GetTeam() {
			asks[last].Requests = append(asks[last].Requests, need.GetNeeded())
			continue
		}
		asks = append(asks, TeamAsk{need.GetTeam(), Ask{PerSecond: atLeastZero(need.GetPerSecond()), Ahead: atLeastZero(need.GetNeeded())}})
	}
	return asks
}

// atLeastZero returns 0 for what is no amount.
func atLeastZero(v float64) float64 {
	if v > 0 {
		return v
	}
	return 0
}

// EncodeAnswers encodes the answers to asks, in the same order.
func EncodeAnswers(asks []TeamAsk, answers []Answer) *wirepb.QuotaReply {
	reply := &wirepb.QuotaReply{}
	for i, a := range asks {
		reply.Grants = append(reply.Grants, &wirepb.QuotaGrant{Team: a.Team, Amount: answers[i].Ahead, WaitMs: uint32(answers[i].Lease)})
		for n, amount := range a.Requests {
			grant := &wirepb.QuotaGrant{Team: a.Team, Amount: amount}
			if wait := answers[i].Waits[n]; wait > 0 {
				grant.Amount, grant.WaitMs = 0, uint32(math.Ceil(float64(wait)/float64(time.Millisecond)))
			}
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// DecodeAnswers decodes the answers to asks. It returns false if they don't match.
func DecodeAnswers(asks []TeamAsk, reply *wirepb.QuotaReply) ([]TeamAnswer, bool) {
	grants := reply.GetGrants()
	var answers []TeamAnswer
	for _, a := range asks {
		if len(grants) < 1+len(a.Requests) || grants[0].GetTeam() != a.Team {
			return nil, false
		}
		answer := TeamAnswer{a.Team, Answer{Ahead: atLeastZero(grants[0].GetAmount()), Lease: min(Lease(grants[0].GetWaitMs()), LeaseDenied)}}
		for _, grant := range grants[1 : 1+len(a.Requests)] {
			answer.Waits = append(answer.Waits, time.Duration(grant.GetWaitMs())*time.Millisecond)
		}
		grants = grants[1+len(a.Requests):]
		answers = append(answers, answer)
	}
	return answers, true
}

// Granted returns the sum of what an answer lends.
func (a Ask) Granted(answer Answer) float64 {
	sum := answer.Ahead
	for n, wait := range answer.Waits {
		if wait == 0 && n < len(a.Requests) {
			sum += a.Requests[n]
		}
	}
	return sum
}
