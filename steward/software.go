package steward

import (
	"context"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/scaling"
	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

// updateSoftware commits the software versions that services run, or have run within the last minute, if these have changed.
func (l *leader) updateSoftware(ctx context.Context, now time.Time) {
	if l.committingSoftware {
		return
	}
	l.mu.Lock()
	committed := l.software
	l.mu.Unlock()
	next, changed := l.softwareTracker.Next(committed, l.planner.Software(), now)
	if !changed {
		return
	}
	l.committingSoftware = true
	l.tasks.Go(func() {
		commitCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		err := l.propose(commitCtx, &wirepb.StewardChange{Software: next.ToWire()})
		l.postResult(ctx, func() {
			l.committingSoftware = false
			if err != nil {
				l.log.Info("software versions not committed", "revision", next.Revision, "error", err.Error())
				return
			}
			if now := time.Now(); l.updateLeadership(now) {
				l.publish(now, true)
			}
		})
	})
}

// recentStartAge is how old a stream's start may be for its model to keep a replica at its software version. Clients leave some seconds
// after a break, and most streams have ended by then.
const recentStartAge = 5 * time.Second

// recentStarts returns how many streams models have begun lately, by software version, as far as gateways reported them.
func (s *Steward) recentStarts(now time.Time) map[scaling.ModelVersion]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := map[scaling.ModelVersion]int{}
	for start := range s.starts.Since(now.Add(-recentStartAge)) {
		recent[scaling.ModelVersion{Model: start.Model, Software: start.Origin.Software}]++
	}
	return recent
}

// logUnmet logs the models that resumed streams wait for and why none is ordered, where that has changed.
func (l *leader) logUnmet() {
	unmet := l.planner.Unmet()
	for at, o := range unmet {
		if before, logged := l.loggedUnmet[at]; !logged || before != o {
			l.log.Info("resumed streams wait for a model", "model", at.Model, "software", at.Software, "replicas", o.Replicas, "endpoints", o.Endpoints,
				"busy", o.Busy, "withoutCopy", o.WithoutCopy, "full", o.Full)
		}
	}
	l.loggedUnmet = unmet
}

// publishable returns the endpoints whose software version is committed, so that no stream begins at a version that the log doesn't
// know. The caller must hold the lock.
func (s *Steward) publishable(endpoints []endpoint.State) []endpoint.State {
	var allowed []endpoint.State
	for _, e := range endpoints {
		if s.software.Allows(stream.Origin{Service: e.Service, Software: e.Software}) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// applySoftware applies committed software versions if they follow the current ones; complete ones always apply.
func (s *Steward) applySoftware(message *wirepb.SoftwareTable, complete bool) {
	if message == nil {
		return
	}
	next := stream.SoftwareFromWire(message)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !complete && next.Revision != s.software.Revision+1 {
		return
	}
	notify := len(next.Several().Services())+len(s.software.Several().Services()) > 0
	s.software = next
	s.log.Info("software versions committed", "revision", next.Revision, "services", message.String())
	if notify {
		s.notifySubscribersLocked()
	}
}

// fillSoftware adds the services with several software versions to a snapshot if they have changed, so that gateways report starts of
// their streams. A subscriber is told nothing while each service runs one version. The caller must hold the lock.
func (s *Steward) fillSoftware(snapshot *wirepb.Snapshot, sent *sentView) {
	if sent.software == s.software.Revision {
		return
	}
	sent.software = s.software.Revision
	several := s.software.Several()
	if len(several.Services()) > 0 || sent.sentSeveral {
		snapshot.Software = several.ToWire()
	}
	sent.sentSeveral = len(several.Services()) > 0
}
