package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdocksaddle/platform/standin"
)

const (
	// keyMark begins all API keys, so that they are found in logs.
	keyMark = "api-key-of-"
	// versionKeyMark begins the keys that the version of a configuration adds, each of which is removed keyVersions versions later. Nearly all
	// configurations that may be in force at the same time are less apart: one is sent every 1.5 s, has up to 3 versions more than the one before
	// and is in force within 2.5 s.
	versionKeyMark = keyMark + "version-"
	keyVersions    = 12
	// neverAdded is how far the version of a key that no configuration has is above the newest one.
	neverAdded = 1000
	// openPath is the prefix of a public route.
	openPath = "/open/"
	// claimedTeam is the name of a team that callers claim to be.
	claimedTeam = "claimed"
)

// callerTeams are the teams of callers, whose keys all configurations have.
var callerTeams = []standin.Team{
	{Name: "press", Keys: []string{keyMark + "press"}, Priority: 1, HasPriority: true},
	{Name: "shops", Keys: []string{keyMark + "shops"}},
	{Name: "night", Keys: []string{keyMark + "night"}, Priority: 9, HasPriority: true},
}

func versionKey(version int) string { return versionKeyMark + strconv.Itoa(version) }

func isVersionKey(key string) bool { return strings.HasPrefix(key, versionKeyMark) }

// teamsOf returns the teams in a version of the configuration: each has the keys of all callers of that team, and some that versions add.
func teamsOf(version int) []standin.Team {
	teams := slices.Clone(callerTeams)
	for added := max(1, version-keyVersions+1); added <= version; added++ {
		t := &teams[added%len(teams)]
		t.Keys = append(slices.Clone(t.Keys), versionKey(added))
	}
	return teams
}

// teamOfKey returns the team that has a key whenever any has it; the zero value stands for none.
func teamOfKey(key string) standin.Team {
	if version, err := strconv.Atoi(strings.TrimPrefix(key, versionKeyMark)); err == nil && isVersionKey(key) {
		return callerTeams[version%len(callerTeams)]
	}
	for _, t := range callerTeams {
		if slices.Contains(t.Keys, key) {
			return t
		}
	}
	return standin.Team{}
}

// loadCaller is a caller with its team. An anonymous caller uses the public route, without a key, instead of the other idempotent one.
type loadCaller struct {
	*standin.Caller
	name      string
	team      standin.Team
	anonymous bool
}

// identify adds the caller's key to a request, and the name of a team that isn't the caller's.
func (c loadCaller) identify(request standin.Request) standin.Request {
	request.ClaimedTeam = claimedTeam
	if c.anonymous && request.Path == "/read/x" {
		request.Path = openPath + "x"
		return request
	}
	request.Key = c.team.Keys[0]
	return request
}

// keyProbe is a request with the key that a configuration version added.
type keyProbe struct {
	gateway string
	version int
	outcome standin.Outcome
}

// runKeyProbes sends requests to a gateway with the key that the newest version in force has added, with the one that it has removed and with
// one that none has, in turns.
func (l *platformLoad) runKeyProbes(gateway string) {
	caller := standin.NewCaller(l.cluster.vms[gateway].client, false)
	defer caller.Close()
	for n := 0; sleepContext(l.ctx, probeInterval); n++ {
		newest := l.versionAckedBefore(time.Now().Add(-maxApplyDelay))
		version := []int{newest, newest - keyVersions, newest + neverAdded}[n%3]
		if newest == 0 || version <= 0 {
			continue
		}
		request := standin.Request{ID: fmt.Sprintf("key-%s-%d", gateway, n), Host: "one.example", Path: "/read/x", Key: versionKey(version), Timeout: 1500 * time.Millisecond}
		outcome := l.record(caller.Do(l.cluster.ctx, request))
		l.mu.Lock()
		l.keyProbes = append(l.keyProbes, keyProbe{l.cluster.vms[gateway].bindAddress, version, outcome})
		l.mu.Unlock()
	}
}

// lowestPriority is the least urgent priority that endpoints accept.
const lowestPriority = 9

// checkTeams checks that endpoints get the name and the priority of the caller's team, and no API key, and that no gateway denies a key that
// every configuration has.
func checkTeams(o observations) (judged int, broken []string) {
	sent := map[string]standin.Request{}
	for _, outcome := range o.outcomes {
		sent[outcome.ID] = outcome.Request
		if outcome.Status == http.StatusUnauthorized && !isVersionKey(outcome.Key) {
			broken = append(broken, fmt.Sprintf("%s %s was denied by %s", outcome.Path, outcome.ID, outcome.Gateway))
		}
	}
	for id, runs := range o.runsByID() {
		request := sent[id]
		want, priority := teamOfKey(request.Key), ""
		if request.Model != "" {
			priority = strconv.Itoa(want.Priority)
		}
		judged += len(runs)
		for _, r := range runs {
			// The engines run several software versions, so new requests may be one step less urgent, and resumed streams never are.
			lowered := request.Model != "" && r.ResumedAfter == 0 && r.Priority == strconv.Itoa(min(want.Priority+1, lowestPriority))
			if r.Team != want.Name || r.Key != "" || r.Priority != priority && !lowered {
				broken = append(broken, fmt.Sprintf("%s %s ran for team %q with priority %q, key %q; want team %q, priority %q", r.Path, id, r.Team, r.Priority, r.Key, want.Name, priority))
			}
		}
	}
	return judged, broken
}

// checkKeys checks that a connected gateway accepts a key of a version that was acknowledged more than maxApplyDelay before and denies one that
// such a version has removed, and that no gateway accepts a key that was never added.
func checkKeys(o observations) (judged int, broken []string) {
	for _, p := range o.keyProbes {
		// The gateway's table has a version from oldest to newest.
		oldest, newest := 0, 0
		for _, c := range o.changes {
			if !c.acked.IsZero() && c.acked.Before(p.outcome.Sent.Add(-maxApplyDelay)) {
				oldest = max(oldest, c.version)
			}
			if c.sent.Before(p.outcome.Done) {
				newest = max(newest, c.version)
			}
		}
		ran, added, removed := p.outcome.Stamp != "", p.version <= oldest && newest < p.version+keyVersions, p.version+keyVersions <= oldest
		denied := p.outcome.Status == http.StatusUnauthorized || p.outcome.Status == http.StatusServiceUnavailable && strings.Contains(p.outcome.Body, "configuration")
		switch {
		case p.version > newest:
			if judged++; ran {
				broken = append(broken, fmt.Sprintf("%s accepted the key of version %d, which was never sent", p.gateway, p.version))
			}
		case !added && !removed || o.excused(p.gateway, p.outcome):
		case added:
			if judged++; denied {
				broken = append(broken, fmt.Sprintf("%s answered %d to the key of version %d, which was acknowledged more than %v before", p.gateway, p.outcome.Status, p.version, maxApplyDelay))
			}
		case removed:
			if judged++; ran {
				broken = append(broken, fmt.Sprintf("%s accepted the key of version %d, which version %d removed, acknowledged more than %v before", p.gateway, p.version, oldest, maxApplyDelay))
			}
		}
	}
	return judged, broken
}
