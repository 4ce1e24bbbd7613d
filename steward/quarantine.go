package steward

import (
	"context"
	"slices"
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
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		err := l.propose(ctx, &wirepb.StewardChange{Quarantine: next.ToWire()})
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
	s.log.Info("quarantine committed", "revision", next.Revision, "active", next.Active(), "requests", len(next.Requests), "entries", next.String())
	s.notifySubscribersLocked()
}
