package steward

import (
	"context"
	"slices"
	"strconv"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/quarantine"
	"burdocksaddle/wirepb"
)

// quarantineInterval is the minimum time between two updates of the quarantine.
const quarantineInterval = 50 * time.Millisecond

// maxNewCrashes and maxNewAnswers limit what gateways report between two passes of the leader's loop.
const (
	maxNewCrashes = 1024
	maxNewAnswers = 4096
)

// crashReports are the crashes and answers that gateways reported and that the leader has not yet taken into account.
type crashReports struct {
	crashes []quarantine.Crash
	answers map[uint64]time.Time
}

// add adds a gateway's report, as of now.
func (r *crashReports) add(d *wirepb.DemandReport, now time.Time) {
	for _, c := range d.GetCrashes() {
		if len(r.crashes) >= maxNewCrashes {
			break
		}
		at := now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		r.crashes = append(r.crashes, quarantine.Crash{
			Endpoint: endpoint.Incarnation{ID: c.GetEndpoint(), StartMS: c.GetBornMs()}, Service: c.GetService(), Request: c.GetRequest(), Key: c.GetKey(), Parts: c.GetParts(),
			SentAt: at.Add(-time.Duration(c.GetRanMs()) * time.Millisecond), At: at, Began: c.GetBegan(),
		})
	}
	for _, a := range d.GetAnswers() {
		if r.answers == nil {
			r.answers = map[uint64]time.Time{}
		}
		if len(r.answers) >= maxNewAnswers {
			break
		}
		if at := now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond); at.After(r.answers[a.GetPart()]) {
			r.answers[a.GetPart()] = at
		}
	}
}

// updateQuarantine takes the gateways' reports into account, commits the quarantine that follows from them and publishes the suspects.
func (l *leader) updateQuarantine(ctx context.Context, now time.Time) {
	if now.Before(l.nextQuarantineUpdate) {
		return
	}
	l.nextQuarantineUpdate = now.Add(quarantineInterval)
	l.mu.Lock()
	reports, current := l.crashReports, l.quarantine
	l.crashReports = crashReports{}
	l.mu.Unlock()
	if l.evidence.Idle() && len(reports.crashes) == 0 && len(current.Entries)+len(current.Requests) == 0 {
		return
	}
	for part, at := range reports.answers {
		l.evidence.RecordAnswer(part, at)
	}
	for _, c := range reports.crashes {
		l.evidence.RecordCrash(c, now)
	}
	next, changed := l.evidence.Next(current, now)
	if suspects := l.evidence.Suspects(next); !slices.Equal(suspects, l.publishedSuspects) {
		l.publishedSuspects = suspects
		l.mu.Lock()
		l.suspects = suspects
		l.notifySubscribersLocked()
		l.mu.Unlock()
	}
	if !changed || l.quarantining || !l.ordersAllowed(ctx) {
		return
	}
	l.quarantining = true
	l.tasks.Go(func() {
		commitCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		err := l.propose(commitCtx, &wirepb.StewardChange{Quarantine: next.ToWire()})
		l.postResult(ctx, func() {
			l.quarantining = false
			if err != nil {
				l.log.Info("quarantine not committed", "revision", next.Revision, "error", err.Error())
			}
		})
	})
}

// applyQuarantine applies a committed quarantine if it follows the current one; a complete one always applies.
func (s *Steward) applyQuarantine(message *wirepb.QuarantineTable, complete bool) {
	if message == nil {
		return
	}
	next := quarantine.FromWire(message)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !complete && next.Revision != s.quarantine.Revision+1 {
		return
	}
	s.quarantine = next
	s.trials.Update(next, time.Now())
	s.log.Info("quarantine committed", "revision", next.Revision, "active", next.Active(), "requests", len(next.Requests), "entries", next.String())
	s.notifySubscribersLocked()
}

// handleTrial decides whether a gateway may send one attempt of a quarantined request, and commits the trial before it allows that.
func (s *Steward) handleTrial(ctx context.Context, request *wirepb.TrialRequest) *wirepb.Frame {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply, key := &wirepb.TurnReply{}, request.GetKey()
	_, self := s.quorumLog.Leader()
	s.mu.Lock()
	leading, next, wait := self && s.leading, s.quarantine.WithTrial(key), time.Duration(0)
	if leading {
		wait = s.trials.Take(key, time.Now())
	}
	s.mu.Unlock()
	switch {
	case !leading:
		reply.Error = "this steward does not lead"
	case wait > 0:
		reply.WaitMs = uint32(wait.Milliseconds())
	default:
		if err := s.propose(ctx, &wirepb.StewardChange{Quarantine: next.ToWire()}); err != nil {
			reply.Error = err.Error()
		} else if reply.Granted = s.hasTrial(next, key); !reply.Granted {
			reply.Error = "the quarantine has changed meanwhile"
		}
		s.log.Info("trial of a quarantined request", "key", strconv.FormatUint(key, 16), "granted", reply.GetGranted(), "error", reply.GetError())
	}
	return &wirepb.Frame{Body: &wirepb.Frame_TurnReply{TurnReply: reply}}
}

// hasTrial reports whether the committed quarantine has the trial of a request that a table has.
func (s *Steward) hasTrial(t quarantine.Table, key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	want, _ := t.TrialsOf(key)
	committed, found := s.quarantine.TrialsOf(key)
	return found && committed == want
}
