package stream

import (
	"maps"
	"slices"
	"time"

	"burdocksaddle/wirepb"
)

// Software lists the software versions that each service has run within TTL, as committed in the stewards' log. It is immutable.
type Software struct {
	// Revision is incremented by each change. A change applies only to the revision it was computed from.
	Revision uint64
	versions map[string][]string
}

// Versions returns the versions of a service, sorted.
func (s Software) Versions(service string) []string { return s.versions[service] }

// Several returns the services with more than one version.
func (s Software) Several() Software {
	several := Software{Revision: s.Revision, versions: map[string][]string{}}
	for service, versions := range s.versions {
		if len(versions) > 1 {
			several.versions[service] = versions
		}
	}
	return several
}

// Services returns the names of all services, sorted.
func (s Software) Services() []string { return slices.Sorted(maps.Keys(s.versions)) }

// Allows reports whether gateways may be told of an endpoint. An endpoint whose version is not known yet may run any version, so it is
// allowed only while its service runs a single one.
func (s Software) Allows(o Origin) bool {
	versions := s.versions[o.Service]
	return slices.Contains(versions, o.Software) || o.Software == "" && len(versions) == 1
}

// ToWire returns the protobuf message.
func (s Software) ToWire() *wirepb.SoftwareTable {
	message := &wirepb.SoftwareTable{Revision: s.Revision}
	for _, service := range s.Services() {
		message.Services = append(message.Services, &wirepb.ServiceSoftware{Service: service, Versions: s.versions[service]})
	}
	return message
}

// SoftwareFromWire is the inverse of ToWire.
func SoftwareFromWire(message *wirepb.SoftwareTable) Software {
	s := Software{Revision: message.GetRevision(), versions: map[string][]string{}}
	for _, service := range message.GetServices() {
		s.versions[service.GetService()] = service.GetVersions()
	}
	return s
}

// SoftwareTracker decides when the committed versions change. A new leader starts with an empty one. It isn't safe for concurrent use.
type SoftwareTracker struct{ seen map[Origin]time.Time }

// Next returns the versions to commit: those of the listed endpoints, and those that were listed within TTL. A committed version that this
// tracker has never seen counts as seen now, so that a new leader waits for TTL before it removes the version.
func (t *SoftwareTracker) Next(committed Software, listed []Origin, now time.Time) (next Software, changed bool) {
	if t.seen == nil {
		t.seen = map[Origin]time.Time{}
	}
	for service, versions := range committed.versions {
		for _, software := range versions {
			o := Origin{Service: service, Software: software}
			if _, known := t.seen[o]; !known {
				t.seen[o] = now
			}
		}
	}
	for _, o := range listed {
		t.seen[o] = now
	}
	next = Software{Revision: committed.Revision + 1, versions: map[string][]string{}}
	for o, at := range t.seen {
		switch {
		case now.Sub(at) <= TTL:
			next.versions[o.Service] = append(next.versions[o.Service], o.Software)
		case !slices.Contains(committed.versions[o.Service], o.Software):
			delete(t.seen, o)
		}
	}
	for service, versions := range next.versions {
		next.versions[service] = knownVersions(versions)
	}
	if maps.EqualFunc(next.versions, committed.versions, slices.Equal) {
		return committed, false
	}
	return next, true
}

// knownVersions sorts versions. An unknown version counts only if there is no other one, since it is known soon after an endpoint's restart.
func knownVersions(versions []string) []string {
	slices.Sort(versions)
	if len(versions) > 1 && versions[0] == "" {
		return versions[1:]
	}
	return versions
}
