package stream

import (
	"iter"
	"slices"
	"time"
)

// TTL is how long it is known where a stream began, and which software versions served. It is longer than the timeouts of streams.
const TTL = time.Minute

// Start says where a stream of a model began. ID is that of the client's request which brought the first event, as hashed by the caller.
type Start struct {
	ID     uint64
	Origin Origin
	Model  string
}

// Starts are the streams that began within TTL, at most a limited number of them. It isn't safe for concurrent use.
type Starts struct {
	limit  int
	origin map[uint64]Origin
	// order holds the starts, oldest first. The first one has the number first.
	order []timedStart
	first uint64
}

type timedStart struct {
	Start
	at time.Time
}

// NewStarts returns Starts that remember the last streams up to a limit.
func NewStarts(limit int) *Starts {
	return &Starts{limit: limit, origin: map[uint64]Origin{}}
}

// Record adds a start, unless it is known.
func (s *Starts) Record(start Start, now time.Time) {
	s.prune(now)
	if _, known := s.origin[start.ID]; known {
		return
	}
	if len(s.order) == s.limit {
		s.drop(1)
	}
	s.origin[start.ID] = start.Origin
	s.order = append(s.order, timedStart{start, now})
}

// Find returns where a stream began, and whether that is known.
func (s *Starts) Find(id uint64, now time.Time) (Origin, bool) {
	s.prune(now)
	origin, known := s.origin[id]
	return origin, known
}

// Has reports whether the start of any stream of a service is known.
func (s *Starts) Has(service string, now time.Time) bool {
	s.prune(now)
	return slices.ContainsFunc(s.order, func(start timedStart) bool { return start.Origin.Service == service })
}

// After returns up to limit starts with that number or a higher one, and the number to continue with. The first start ever has the number 0.
func (s *Starts) After(number uint64, limit int) (starts []Start, next uint64) {
	from := max(number, s.first)
	for _, start := range s.order[min(from-s.first, uint64(len(s.order))):] {
		if len(starts) == limit {
			break
		}
		starts = append(starts, start.Start)
	}
	return starts, from + uint64(len(starts))
}

// Since yields the starts that were recorded at a time or later, the latest first.
func (s *Starts) Since(at time.Time) iter.Seq[Start] {
	return func(yield func(Start) bool) {
		for _, start := range slices.Backward(s.order) {
			if start.at.Before(at) || !yield(start.Start) {
				return
			}
		}
	}
}

// prune drops the starts that are older than TTL.
func (s *Starts) prune(now time.Time) {
	old := 0
	for old < len(s.order) && now.Sub(s.order[old].at) > TTL {
		old++
	}
	s.drop(old)
}

// drop drops the oldest starts.
func (s *Starts) drop(count int) {
	for _, start := range s.order[:count] {
		delete(s.origin, start.ID)
	}
	s.order = s.order[count:]
	s.first += uint64(count)
}

// Versions are the software versions that served within TTL. It isn't safe for concurrent use.
type Versions struct{ seen map[Origin]time.Time }

// Record records that an endpoint of the service runs the software version.
func (v *Versions) Record(o Origin, now time.Time) {
	if v.seen == nil {
		v.seen = map[Origin]time.Time{}
	}
	v.seen[o] = now
}

// Services returns the services of all recorded versions, sorted.
func (v *Versions) Services() []string {
	var services []string
	for o := range v.seen {
		services = append(services, o.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// Of returns the versions of a service, sorted. An unknown version counts only if there is no other one, since it is known soon after an
// endpoint's restart.
func (v *Versions) Of(service string, now time.Time) []string {
	var versions []string
	for o, at := range v.seen {
		switch {
		case now.Sub(at) > TTL:
			delete(v.seen, o)
		case o.Service == service:
			versions = append(versions, o.Software)
		}
	}
	return knownVersions(versions)
}
