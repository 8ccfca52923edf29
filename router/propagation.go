package router

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// maxPropagationCalls limits the processes that are asked at the same time.
	maxPropagationCalls = 64

	propagationTimeout = time.Second
)

// Propagation asks every live process on the VM list for the catalog version in
// force there, or, without a readable list, every known agent and this router. It
// implements admin.PropagationSource.
func (r *Router) Propagation(ctx context.Context, version uint64) admin.Propagation {
	result := admin.Propagation{Version: version, Lagging: []admin.LaggingProcess{}}
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(maxPropagationCalls)
	for _, vm := range r.processes(ctx) {
		calls.Go(func() error {
			inForce := r.versionAt(ctx, vm)
			mu.Lock()
			defer mu.Unlock()
			if inForce >= version {
				result.InForce++
				return nil
			}
			result.Lagging = append(result.Lagging, admin.LaggingProcess{Name: vm.Name, Version: inForce})
			return nil
		})
	}
	_ = calls.Wait()
	return result
}

// processes lists the processes to ask. It leaves out VMs that the platform
// reports as leaving, so that a catalog version need not be in force there.
func (r *Router) processes(ctx context.Context) []storage.VM {
	if r.opts.VMs != nil {
		if list, err := r.opts.VMs.List(ctx); err == nil {
			return liveVMs(list)
		}
	}
	var list []storage.VM
	for _, address := range r.fleet.Addresses() {
		list = append(list, storage.VM{Name: address, Role: storage.RoleAgent, Address: address})
	}
	return append(list, storage.VM{Name: r.opts.Name, Role: storage.RoleRouter, Address: r.peers.Address()})
}

func liveVMs(list []storage.VM) []storage.VM {
	var out []storage.VM
	for _, vm := range list {
		if vm.State == storage.VMLive {
			out = append(out, vm)
		}
	}
	return out
}

// versionAt asks one process for its catalog version; zero means no answer.
func (r *Router) versionAt(ctx context.Context, vm storage.VM) uint64 {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	// No process has a version above this one, so no document is sent.
	req := &rpc.FetchCatalogRequest{HaveVersion: ^uint64(0)}
	url := r.client.URL(vm.Address)
	var snapshot *rpc.CatalogSnapshot
	var err error
	if vm.Role == storage.RoleAgent {
		snapshot, err = rpc.NewAgentProtobufClient(url, r.client.HTTPClient()).FetchCatalog(ctx, req)
	} else {
		snapshot, err = rpc.NewRouterProtobufClient(url, r.client.HTTPClient()).FetchCatalog(ctx, req)
	}
	if err != nil {
		return 0
	}
	return snapshot.GetVersion()
}
