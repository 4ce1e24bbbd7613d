package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"burdocksaddle/engineapi"
)

const defaultListLag = 2 * time.Second

// Platform simulates the platform's list of VMs, which shows changes with a delay.
type Platform struct {
	base
	lag time.Duration
	mux *http.ServeMux
	mu  sync.Mutex
	// versions holds the versions of the list, oldest first. The
	// first one is the latest visible version or an older one.
	versions []listVersion
}

type listVersion struct {
	since time.Time
	vms   []engineapi.VM
}

// PlatformOption configures a Platform.
type PlatformOption func(*Platform)

// ListLag sets the delay until the list shows a change.
func ListLag(d time.Duration) PlatformOption {
	return func(p *Platform) { p.lag = d }
}

// ListedVMs sets the VMs that the list contains initially.
func ListedVMs(names ...string) PlatformOption {
	return func(p *Platform) {
		for _, name := range names {
			p.versions[0].vms = upsert(p.versions[0].vms, engineapi.VM{Name: name})
		}
	}
}

// NewPlatform returns a platform that stops when ctx ends.
func NewPlatform(ctx context.Context, options ...PlatformOption) *Platform {
	p := &Platform{lag: defaultListLag, mux: http.NewServeMux(), versions: []listVersion{{}}}
	for _, option := range options {
		option(p)
	}
	p.init(ctx)
	p.mux.HandleFunc("GET "+engineapi.PathVMs, p.serveList)
	p.mux.HandleFunc("POST "+engineapi.PathVMs, p.serveSet)
	p.mux.HandleFunc("DELETE "+engineapi.PathVMs+"/{name}", p.serveRemove)
	return p
}

// ServeHTTP serves the list and accepts changes to it.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, p.mux)
}

// SetVM adds a VM or updates its leaving flag. The list shows the change after the lag.
func (p *Platform) SetVM(name string, leaving bool) {
	p.update(func(vms []engineapi.VM) []engineapi.VM {
		return upsert(vms, engineapi.VM{Name: name, Leaving: leaving})
	})
}

// Remove removes a VM from the list after the lag.
func (p *Platform) Remove(name string) {
	p.update(func(vms []engineapi.VM) []engineapi.VM {
		return slices.DeleteFunc(vms, func(vm engineapi.VM) bool { return vm.Name == name })
	})
}

// VMs returns the list that is currently visible.
func (p *Platform) VMs() []engineapi.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	return slices.Clone(p.versions[0].vms)
}

func (p *Platform) update(edit func([]engineapi.VM) []engineapi.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	latest := slices.Clone(p.versions[len(p.versions)-1].vms)
	p.versions = append(p.versions, listVersion{since: time.Now(), vms: edit(latest)})
}

// prune removes the versions that a newer visible version replaces.
func (p *Platform) prune() {
	cutoff := time.Now().Add(-p.scale(p.lag))
	for len(p.versions) > 1 && !p.versions[1].since.After(cutoff) {
		p.versions = p.versions[1:]
	}
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, engineapi.VMList{VMs: p.VMs()})
}

func (p *Platform) serveSet(w http.ResponseWriter, r *http.Request) {
	var vm engineapi.VM
	if !readJSON(w, r, &vm) {
		return
	}
	p.SetVM(vm.Name, vm.Leaving)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveRemove(w http.ResponseWriter, r *http.Request) {
	p.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func upsert(vms []engineapi.VM, vm engineapi.VM) []engineapi.VM {
	index, found := slices.BinarySearchFunc(vms, vm, func(a, b engineapi.VM) int { return strings.Compare(a.Name, b.Name) })
	if found {
		vms[index] = vm
		return vms
	}
	return slices.Insert(vms, index, vm)
}
