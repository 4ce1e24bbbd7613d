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
	// missingTimeout is how long a VM must be absent from the platform's list before it is reported as missing.
	missingTimeout = 30 * time.Second
	// watchersPerEndpoint is the number of agents that check whether an endpoint's VM is still listed.
	watchersPerEndpoint = 3
)

// pollPlatform polls the platform's VM list. It marks the agent's own endpoint as leaving and reports watched endpoints that
// are no longer listed.
func (a *Agent) pollPlatform(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		listURL := vmListURL(a.settings.Agent.PlatformURL)
		interval := time.Duration(a.settings.Agent.PlatformPollMS) * time.Millisecond
		unlistedSince := map[string]time.Time{}
		for listURL != "" && sleepContext(ctx, interval) == nil {
			var list engineapi.VMList
			if err := a.doJSON(ctx, http.MethodGet, listURL, nil, &list); err != nil {
				a.log.V(1).Info("failed to fetch the platform's VM list", "error", err.Error())
				continue
			}
			a.applyVMList(list, unlistedSince, time.Now())
		}
		ended <- nil
	}()
	return ended
}

// applyVMList updates the leaving flag and the missing endpoints from a VM list.
func (a *Agent) applyVMList(list engineapi.VMList, unlistedSince map[string]time.Time, now time.Time) {
	own := a.settings.Agent.Endpoint
	listed := map[string]bool{}
	leaving := false
	for _, vm := range list.VMs {
		listed[vm.Name] = true
		leaving = leaving || vm.Name == own && vm.Leaving
	}
	var missing []string
	for _, name := range a.watchedEndpoints() {
		if listed[name] {
			delete(unlistedSince, name)
			continue
		}
		if _, alreadyUnlisted := unlistedSince[name]; !alreadyUnlisted {
			unlistedSince[name] = now
		}
		// A list without this agent's own VM may be incomplete, so it isn't used as evidence.
		if now.Sub(unlistedSince[name]) > missingTimeout && listed[own] {
			missing = append(missing, name)
		}
	}
	a.mu.Lock()
	listChanged := leaving && !a.leaving || !slices.Equal(missing, a.missingEndpoints)
	// Once set, leaving stays set until the agent restarts.
	a.leaving = a.leaving || leaving
	a.missingEndpoints = missing
	a.mu.Unlock()
	if listChanged {
		a.log.Info("platform VM list changed", "endpoint", own, "leaving", leaving, "missing", len(missing))
		a.wakeReconciler()
	}
}

// watchedEndpoints returns the endpoints that this agent watches: the ones preceding its own in sorted order, wrapping around.
func (a *Agent) watchedEndpoints() []string {
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
	position, _ := slices.BinarySearch(names, a.settings.Agent.Endpoint)
	var preceding []string
	for i := 1; i <= watchersPerEndpoint && i < len(names); i++ {
		preceding = append(preceding, names[(position-i+len(names))%len(names)])
	}
	slices.Sort(preceding)
	return preceding
}

// vmListURL appends the default VM list path if the configured URL has no path.
func vmListURL(baseURL string) string {
	parsed, err := url.Parse(baseURL)
	if err != nil || baseURL == "" {
		return ""
	}
	if parsed.Path == "" || parsed.Path == "/" {
		parsed.Path = engineapi.PathVMs
	}
	return parsed.String()
}
