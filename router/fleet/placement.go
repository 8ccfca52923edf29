package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/storage"
)

// maxCountedModels bounds the models whose selections are counted. At the bound all
// counts are reset.
const maxCountedModels = 1024

// Engine is a model engine and the address of its agent.
type Engine struct {
	Address   string
	Candidate selection.Candidate
}

// Engines returns the known model engines, sorted by name. An endpoint that has not
// yet reported whether it has models or a service is included.
func (f *Fleet) Engines(now time.Time) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(now)
	var engines []Engine
	for i, c := range f.view.candidates {
		if c.Service == "" {
			engines = append(engines, Engine{Address: f.view.addresses[i], Candidate: c})
		}
	}
	return engines
}

// SelectionCounts returns how often an endpoint has been selected for each model. The counts
// may be reset.
func (f *Fleet) SelectionCounts() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.selections)
}

func (f *Fleet) countSelection(model string) {
	if model == "" {
		return
	}
	if f.selections == nil || len(f.selections) >= maxCountedModels {
		f.selections = map[string]uint64{}
	}
	f.selections[model]++
}

// Routers returns the sorted names of the live routers in the VM list, none before the
// list was first read. The result is false if there is no VM list.
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

// RouterAddresses returns the addresses of the live routers in the VM list for traffic
// between processes.
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
