package agent

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"burdocksaddle/engineapi"
)

const (
	// missingAfter is how long the platform must leave a VM out before it counts as gone.
	missingAfter = 30 * time.Second
	// witnesses is how many agents watch for each endpoint's VM to go missing.
	witnesses = 3
)

// pollPlatform is the duty that reads the platform's list: it marks the own
// endpoint as leaving and names watched endpoints that are listed no more.
func (a *Agent) pollPlatform(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		address := listAddress(a.settings.Agent.PlatformURL)
		interval := time.Duration(a.settings.Agent.PlatformPollMS) * time.Millisecond
		unlisted := map[string]time.Time{}
		for address != "" && pause(ctx, interval) == nil {
			var list engineapi.VMList
			if err := a.ask(ctx, http.MethodGet, address, nil, &list); err != nil {
				a.log.V(1).Info("platform not asked", "error", err.Error())
				continue
			}
			a.noteList(list, unlisted, time.Now())
		}
		ended <- nil
	}()
	return ended
}

// noteList takes one answer of the platform over.
func (a *Agent) noteList(list engineapi.VMList, unlisted map[string]time.Time, now time.Time) {
	own := a.settings.Agent.Endpoint
	listed := map[string]bool{}
	leaving := false
	for _, vm := range list.VMs {
		listed[vm.Name] = true
		leaving = leaving || vm.Name == own && vm.Leaving
	}
	var missing []string
	for _, name := range a.watched() {
		if listed[name] {
			delete(unlisted, name)
			continue
		}
		if _, known := unlisted[name]; !known {
			unlisted[name] = now
		}
		// A list without the reader's own VM is not to be trusted on others.
		if now.Sub(unlisted[name]) > missingAfter && listed[own] {
			missing = append(missing, name)
		}
	}
	a.mu.Lock()
	news := leaving && !a.leaving || !slices.Equal(missing, a.missing)
	// What once left stays away until its next start.
	a.leaving = a.leaving || leaving
	a.missing = missing
	a.mu.Unlock()
	if news {
		a.log.Info("platform list changed", "endpoint", own, "leaving", leaving, "missing", len(missing))
		a.nudge()
	}
}

// watched returns the endpoints that this agent is a witness for: those just before it by name.
func (a *Agent) watched() []string {
	a.mu.Lock()
	watch := a.watch
	a.mu.Unlock()
	if watch == nil {
		return nil
	}
	var names []string
	for _, endpoint := range watch.Endpoints("") {
		names = append(names, endpoint.GetName())
	}
	slices.Sort(names)
	at, _ := slices.BinarySearch(names, a.settings.Agent.Endpoint)
	var before []string
	for i := 1; i <= witnesses && i < len(names); i++ {
		before = append(before, names[(at-i+len(names))%len(names)])
	}
	slices.Sort(before)
	return before
}

// listAddress adds the list's path where the settings give a base URL alone.
func listAddress(address string) string {
	parsed, err := url.Parse(address)
	if err != nil || address == "" {
		return ""
	}
	if parsed.Path == "" || parsed.Path == "/" {
		parsed.Path = engineapi.PathVMs
	}
	return parsed.String()
}
