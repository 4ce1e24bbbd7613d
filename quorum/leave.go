package quorum

import (
	"context"
	"time"

	"burdocksaddle/consensus"
)

const (
	// leavePollInterval is how often a member that leaves checks whether it may stop.
	leavePollInterval = 5 * time.Millisecond
	// maxLeaveUnprovenTicks is how long a member that leaves waits without a proof of a quorum. It covers two elections,
	// since the leader may be lost, and the votes of the first one may be split.
	maxLeaveUnprovenTicks = 40
	// maxHandOverTicks is how long a leader that no other member can replace tries to hand over the leadership.
	maxHandOverTicks = 10
	// lingerTicks is how long a leader that hands over to nobody answers the others that leave, as they repeat what it has not answered.
	lingerTicks = 3
)

// Leave prepares this member for a stop and returns once the group bears its absence as well as possible: a leader has handed over the
// leadership, and the member is no voter any more, unless no other member can take its place. A member that continues afterwards, or
// starts again with its data directory, remains in the group as a learner or keeps its vote. It fails with ErrNoQuorum or ErrStopped.
func (l *Log) Leave(ctx context.Context) error {
	began, lingerUntil := time.Now(), time.Time{}
	// The leadership may be handed over before the request returns.
	led := l.published.Load().status.Role == consensus.RoleLeader
	if err := l.submitRequest(ctx, coreRequest{leave: true, errc: make(chan error, 1)}); err != nil {
		return err
	}
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for {
		v := l.published.Load()
		led = led || v.status.Role == consensus.RoleLeader
		may := mayStop(v.status, led)
		if !may || v.status.Role != consensus.RoleLeader || !v.status.HasLearners() {
			lingerUntil = time.Time{}
		} else if lingerUntil.IsZero() {
			lingerUntil = time.Now().Add(lingerTicks * l.tick)
		}
		if may && !time.Now().Before(lingerUntil) {
			l.log.Info("left", "member", l.id, "voter", v.status.Configuration.IsVoter(l.id), "ms", time.Since(began).Milliseconds())
			return nil
		}
		if v.status.Irreplaceable() && time.Since(began) > maxHandOverTicks*l.tick {
			return ErrNoQuorum{Reason: "no other member became the leader"}
		}
		if proven := l.provenAt.Load(); proven == nil || time.Since(*proven) > maxLeaveUnprovenTicks*l.tick {
			return ErrNoQuorum{Reason: "the group has no quorum"}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ErrNoQuorum{Reason: ctx.Err().Error()}
		case <-l.stopped:
			return ErrStopped{Cause: l.cause}
		}
	}
}

// mayStop reports whether a member that leaves has done all that it can for its group. A member that led waits until another one does.
func mayStop(s consensus.Status, led bool) bool {
	switch {
	case s.Role == consensus.RoleLeader:
		return s.Irreplaceable() && !s.MayHandOver()
	case s.Departure == consensus.DepartureReleased || s.Departure == consensus.DepartureIrreplaceable:
		return true
	}
	return !s.HasLearners() && (s.Leader != 0 || !led)
}
