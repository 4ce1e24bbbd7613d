package gateway

import (
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/stream"
)

// severalVersionsLocked reports whether a service runs several software versions, or has run them within the last minute, by this gateway's
// view, the platform's list or the stewards' log.
func (g *Gateway) severalVersionsLocked(service string, now time.Time) bool {
	if len(g.resumption.versions.Of(service, now)) > 1 {
		return true
	}
	for o := range g.resumption.listedSince {
		if o.Service == service {
			return true // besides the one that is used
		}
	}
	for _, committed := range g.resumption.committed {
		if len(committed.Versions(service)) > 1 {
			return true
		}
	}
	return false
}

// withoutNewVersionsLocked returns the endpoints of the platform's list that may be used. Those of a version that neither a steward nor the
// list has shown for long are left out: no stream may begin at a version that the stewards' log does not name. A gateway that knows no
// version of a service takes all.
func (g *Gateway) withoutNewVersionsLocked(listed []endpoint.State, now time.Time) []endpoint.State {
	r, since := &g.resumption, map[stream.Origin]time.Time{}
	var usable []endpoint.State
	for _, state := range listed {
		o := stream.Origin{Service: state.Service, Software: state.Software}
		if !g.mayBeCommittedLocked(o, now) {
			first, known := r.listedSince[o]
			if !known {
				first = now
			}
			if since[o] = first; now.Sub(first) < uncommittedVersionDelay {
				continue
			}
		}
		usable = append(usable, state)
	}
	r.listedSince = since
	return usable
}

// mayBeCommittedLocked reports whether a version is one that a steward has named or that was used before, or the first one of its service.
func (g *Gateway) mayBeCommittedLocked(o stream.Origin, now time.Time) bool {
	for _, committed := range g.resumption.committed {
		if committed.Allows(o) {
			return true
		}
	}
	versions := g.resumption.versions.Of(o.Service, now)
	return len(versions) == 0 || slices.Contains(versions, o.Software) || o.Software == "" && len(versions) == 1
}

// mayTakeUpLocked reports whether a draining endpoint may be sent a stream that began at its software version, which few others may run. It
// serves on for DrainTime after the platform's list has shown that it drains.
func (g *Gateway) mayTakeUpLocked(state endpoint.State, now time.Time) bool {
	since := state.DrainingSince
	return !since.IsZero() && now.Sub(since) < g.config.DrainTime-drainMargin && g.severalVersionsLocked(state.Service, now)
}
