package fleet

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/router/membership"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// minListInterval and maxListInterval bound the mean time between reads of the
	// VM list. It is listTimePerMember for each endpoint, because each read returns
	// all entries: with 1,010 of them the reads take 327 B/s instead of 1,962 B/s.
	// A longer interval does not delay the removal of a leaving agent, which reports
	// this itself.
	minListInterval   = 5 * time.Second
	maxListInterval   = 30 * time.Second
	listTimePerMember = 50 * time.Millisecond

	// emptyListInterval is the time between reads while no endpoint is known.
	emptyListInterval = 500 * time.Millisecond

	// probeTick is the interval at which due probes are sent; package membership
	// limits their rate.
	probeTick = 50 * time.Millisecond

	probeTimeout = time.Second
)

// String names the service in the supervisor's reports.
func (f *Fleet) String() string { return "fleet" }

// Serve polls the VM list and sends probes until ctx ends.
func (f *Fleet) Serve(ctx context.Context) error {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	for {
		now := time.Now()
		if f.listDue(now) {
			go f.readList(ctx)
		}
		f.sendProbes(ctx, now)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// listDue reports whether the VM list is due to be read and, if so, schedules the next
// read with a jitter of 25% around the mean interval.
func (f *Fleet) listDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opts.VMs == nil || now.Before(f.nextListRead) {
		return false
	}
	interval := ListInterval(len(f.view.candidates))
	jitter := time.Duration(f.rng.Int64N(int64(interval / 2)))
	f.nextListRead = now.Add(interval*3/4 + jitter)
	return true
}

// ListInterval returns the mean time between reads of the VM list when this number of
// endpoints is known.
func ListInterval(members int) time.Duration {
	if members == 0 {
		return emptyListInterval
	}
	grown := time.Duration(members) * listTimePerMember
	return min(max(grown, minListInterval), maxListInterval)
}

// readList reads the VM list and updates the members. After an error the known members
// are kept.
func (f *Fleet) readList(ctx context.Context) {
	vms, err := f.opts.VMs.List(ctx)
	if err != nil {
		return
	}
	entries := f.fixedEntries()
	for _, vm := range vms {
		entries = append(entries, listEntry(vm))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.members.ApplyList(now, entries)
	f.routers = liveRouters(vms)
	f.refreshLocked(now)
}

func listEntry(vm storage.VM) membership.Entry {
	e := membership.Entry{
		Name:             vm.Name,
		Role:             string(vm.Role),
		Address:          vm.Address,
		Region:           vm.Region,
		AvailabilityZone: vm.AvailabilityZone,
	}
	if vm.State == storage.VMLeaving {
		e.State = membership.Leaving
	}
	return e
}

func (f *Fleet) sendProbes(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		p, ok := f.members.NextProbe(now)
		if !ok {
			return
		}
		go f.probe(ctx, p)
	}
}

func (f *Fleet) probe(ctx context.Context, p membership.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	agent := rpc.NewAgentProtobufClient(f.opts.Client.URL(p.Address), f.opts.Client.HTTPClient())
	resp, err := agent.Probe(ctx, &rpc.ProbeRequest{
		CatalogVersion: f.opts.Catalog.Version(),
		RouterAddress:  f.opts.RouterAddress,
	})
	f.recordProbe(p, resp, err)
	if f.opts.Observer != nil {
		f.opts.Observer.Probed(err == nil)
	}
	if err == nil {
		f.opts.Catalog.VersionSeen(resp.GetCatalogVersion(), p.Address)
	}
}

// recordProbe records the response to a probe, or that the agent is unreachable.
func (f *Fleet) recordProbe(p membership.Probe, resp *rpc.ProbeResponse, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if err != nil {
		f.members.RecordFailure(now, p.Name)
		return
	}
	f.recordReport(now, membership.Report{
		Name:        p.Name,
		Incarnation: resp.GetAgent(),
		State:       resp.GetLoad().GetState(),
		Load:        loadValue(now, resp.GetLoad()),
		HasOffers:   true,
		Models:      resp.GetModels(),
		Service:     resp.GetService(),
	})
}
