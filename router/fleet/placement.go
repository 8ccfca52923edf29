package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/storage"
)

// maxChosen bounds the models with a count of selections. At the bound the
// counts start again.
const maxChosen = 1024

// Engine is a model engine with the address of its agent.
type Engine struct {
	Address   string
	Candidate selection.Candidate
}

// Engines returns the known model engines by name.
func (f *Fleet) Engines(now time.Time) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(now)
	var engines []Engine
	for i, c := range f.view.candidates {
		if c.Service == "" {
			engines = append(engines, Engine{Address: f.view.addresses[i], Candidate: c})
		}
	}
	return engines
}

// Chosen returns how often an endpoint was selected for each model so far.
func (f *Fleet) Chosen() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.chosen)
}

func (f *Fleet) countChosen(model string) {
	if model == "" {
		return
	}
	if f.chosen == nil || len(f.chosen) >= maxChosen {
		f.chosen = map[string]uint64{}
	}
	f.chosen[model]++
}

// Routers returns the names of the live routers in the VM list, sorted. It is
// false without a VM list. Before the first read there are none.
func (f *Fleet) Routers() ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, vm := range f.routers {
		names = append(names, vm.Name)
	}
	slices.Sort(names)
	return names, f.opts.VMs != nil
}

// RouterAddresses lists the peer addresses of the live routers in the VM list.
func (f *Fleet) RouterAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, vm := range f.routers {
		addresses = append(addresses, vm.Address)
	}
	return addresses
}

func liveRouters(vms []storage.VM) []storage.VM {
	var routers []storage.VM
	for _, vm := range vms {
		if vm.Role == storage.RoleRouter && vm.State == storage.VMLive {
			routers = append(routers, vm)
		}
	}
	return routers
}
