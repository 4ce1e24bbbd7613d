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

// Platform stands in for the platform's lagging list of VMs.
type Platform struct {
	base
	lag time.Duration
	mux *http.ServeMux
	mu  sync.Mutex
	// lists are the list's versions, oldest first; the first is the latest one visible or older.
	lists []vmVersion
}

type vmVersion struct {
	since time.Time
	vms   []engineapi.VM
}

// PlatformOption sets up a Platform.
type PlatformOption func(*Platform)

// ListLag sets how late the list is.
func ListLag(d time.Duration) PlatformOption {
	return func(p *Platform) { p.lag = d }
}

// ListedVMs sets the VMs that are listed from the start.
func ListedVMs(names ...string) PlatformOption {
	return func(p *Platform) {
		for _, name := range names {
			p.lists[0].vms = upsert(p.lists[0].vms, engineapi.VM{Name: name})
		}
	}
}

// NewPlatform returns a platform that ends with ctx.
func NewPlatform(ctx context.Context, options ...PlatformOption) *Platform {
	p := &Platform{lag: defaultListLag, mux: http.NewServeMux(), lists: []vmVersion{{}}}
	for _, option := range options {
		option(p)
	}
	p.init(ctx)
	p.mux.HandleFunc("GET "+engineapi.PathVMs, p.serveList)
	p.mux.HandleFunc("POST "+engineapi.PathVMs, p.serveSet)
	p.mux.HandleFunc("DELETE "+engineapi.PathVMs+"/{name}", p.serveRemove)
	return p
}

// ServeHTTP answers with the list and takes changes to it.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, p.mux)
}

// SetVM adds a VM or changes whether it is leaving; the list shows it after the lag.
func (p *Platform) SetVM(name string, leaving bool) {
	p.change(func(vms []engineapi.VM) []engineapi.VM {
		return upsert(vms, engineapi.VM{Name: name, Leaving: leaving})
	})
}

// Remove takes a VM off the list after the lag.
func (p *Platform) Remove(name string) {
	p.change(func(vms []engineapi.VM) []engineapi.VM {
		return slices.DeleteFunc(vms, func(vm engineapi.VM) bool { return vm.Name == name })
	})
}

// VMs returns the list as it is shown now.
func (p *Platform) VMs() []engineapi.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	return slices.Clone(p.lists[0].vms)
}

func (p *Platform) change(edit func([]engineapi.VM) []engineapi.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	latest := slices.Clone(p.lists[len(p.lists)-1].vms)
	p.lists = append(p.lists, vmVersion{since: time.Now(), vms: edit(latest)})
}

// prune drops the versions that a newer visible one replaces.
func (p *Platform) prune() {
	visible := time.Now().Add(-p.scale(p.lag))
	for len(p.lists) > 1 && !p.lists[1].since.After(visible) {
		p.lists = p.lists[1:]
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
	at, found := slices.BinarySearchFunc(vms, vm, func(a, b engineapi.VM) int { return strings.Compare(a.Name, b.Name) })
	if found {
		vms[at] = vm
		return vms
	}
	return slices.Insert(vms, at, vm)
}
