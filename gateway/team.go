package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/route"
	"burdocksaddle/team"
)

// Reasons for which the routing table does not let a request through.
const (
	noRouteReason    = "no route for this host and path"
	noKeyReason      = "its route needs an API key, and it has none"
	unknownKeyReason = "its API key is unknown"
)

// lookUp returns the route and the team of a request, and why the table does not let it through, or "". A public route needs no key, but a
// known one still determines the team.
func lookUp(table *route.Table, request *Request) (found routed, missing string) {
	found.table = table
	matched, ok := table.Match(request.Host, request.Path)
	if !ok {
		return found, noRouteReason
	}
	found.route = matched
	if table.Teams == nil {
		return found, ""
	}
	if request.APIKey != "" {
		found.team, found.hasTeam = table.Teams.Lookup(request.APIKey)
	}
	switch {
	case found.hasTeam || matched.Public:
		return found, ""
	case request.APIKey == "":
		return found, noKeyReason
	}
	return found, unknownKeyReason
}

// deny returns the refusal of a request that the newest table does not let through.
func (g *Gateway) deny(request *Request, found routed, missing string) *Refusal {
	if missing == noRouteReason {
		g.log.Info("no route matches the request", "id", request.ID, "host", request.Host, "path", request.Path, "version", found.table.Version)
		return &Refusal{Status: http.StatusNotFound, Reason: missing}
	}
	g.count(fmt.Sprintf("%s{sent=%q}", metricDeniedKeys, strconv.FormatBool(request.APIKey != "")))
	g.log.Info("no team for the request", "id", request.ID, "route", found.route.Name, "reason", missing, "version", found.table.Version,
		"ms", time.Since(request.Arrived).Milliseconds())
	return &Refusal{Status: http.StatusUnauthorized, Reason: missing}
}

// tag returns the request with a key that differs between teams: the same request of two teams has two callers.
func (r routed) tag(request *Request) *Request {
	if !r.hasTeam {
		return request
	}
	tagged := *request
	tagged.Key = xxhash.Sum64String(strconv.FormatUint(request.Key, 16) + "\x00" + r.team.Name)
	return &tagged
}

// withTeam appends the name of the caller's team to the fields of a log line, if there is one.
func (t *transaction) withTeam(fields ...any) []any {
	if t.hasTeam {
		fields = append(fields, "team", t.team.Name)
	}
	return fields
}

// streamID returns the ID under which the start of a stream is known that a request of the caller's team began.
func (t *transaction) streamID(request string) uint64 { return streamID(t.team, request) }

// streamID returns the ID of the stream that a team's request began; a team without a name stands for none. Stream IDs differ between teams
// that use the same ID for their requests.
func streamID(owner team.Team, request string) uint64 {
	if owner.Name == "" {
		return xxhash.Sum64String(request)
	}
	return xxhash.Sum64String(owner.Name + "\x00" + request)
}

// mayResume refuses a request that takes up a stream which this gateway knows to be another team's, and returns false. The client learns no
// more than for an unknown stream.
func (t *transaction) mayResume() bool {
	if t.table.Teams == nil {
		return true
	}
	var others []uint64
	for _, other := range t.table.Teams.Teams() {
		others = append(others, streamID(other, t.request.Resumes))
	}
	t.mu.Lock()
	now := time.Now()
	started := func(id uint64) bool { _, known := t.resumption.starts.Find(id, now); return known }
	foreign := !started(t.streamID(t.request.Resumes)) && slices.ContainsFunc(others, started)
	t.mu.Unlock()
	if foreign {
		t.log.Info("the stream is another team's", t.withTeam("id", t.request.ID, "resumes", t.request.Resumes)...)
		t.giveUp(unknownStreamReason, withJitter(originRetryAfter))
	}
	return !foreign
}
