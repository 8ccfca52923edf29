package fleet

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// listInterval is the mean time between reads of the VM list.
	listInterval = 5 * time.Second

	// emptyListInterval is the time between reads while no endpoint is known.
	emptyListInterval = 500 * time.Millisecond

	// probeInterval spaces probes: at most 5 a second, which keeps a router's
	// control traffic at 1.5 KB/s.
	probeInterval = 200 * time.Millisecond

	// joinBurst is the number of probes sent at once for endpoints that are new.
	joinBurst = 16

	// loadAge is the age from which a load value is worth a probe.
	loadAge = time.Second

	probeTimeout = time.Second
)

// String names the service in the supervisor's reports.
func (f *Fleet) String() string { return "fleet" }

// Serve polls the VM list and sends probes until ctx ends.
func (f *Fleet) Serve(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		f.readList(ctx, now)
		for _, m := range f.due(now) {
			go f.probe(ctx, m)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// readList reads the VM list when it is due. After an error the known members
// stay.
func (f *Fleet) readList(ctx context.Context, now time.Time) {
	if f.opts.VMs == nil || now.Before(f.listRead) {
		return
	}
	vms, err := f.opts.VMs.List(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planList(now)
	if err != nil {
		return
	}
	for _, vm := range vms {
		if vm.Role == platform.RoleAgent && vm.State == platform.VMLive {
			f.add(now, vm)
		}
	}
}

// planList sets when the VM list is read next.
func (f *Fleet) planList(now time.Time) {
	interval := listInterval
	if len(f.members) == 0 {
		interval = emptyListInterval
	}
	jitter := time.Duration(f.rng.Int64N(int64(interval / 2)))
	f.listRead = now.Add(interval*3/4 + jitter)
}

// due returns the members to probe now: those never heard of at once, otherwise
// the one with the oldest load value.
func (f *Fleet) due(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var joining []string
	var oldest *member
	for _, m := range f.byIndex {
		if m.probing {
			continue
		}
		if f.candidates[m.index].Load.At.IsZero() && now.Sub(m.probed) > probeTimeout && len(joining) < joinBurst {
			joining = append(joining, m.address)
		}
		if oldest == nil || f.heard(m).Before(f.heard(oldest)) {
			oldest = m
		}
	}
	if len(joining) == 0 && oldest != nil && now.Sub(f.heard(oldest)) > loadAge {
		joining = append(joining, oldest.address)
	}
	for _, address := range joining {
		f.members[address].probing = true
	}
	return joining
}

func (f *Fleet) heard(m *member) time.Time {
	at := f.candidates[m.index].Load.At
	if m.probed.After(at) {
		return m.probed
	}
	return at
}

func (f *Fleet) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	agent := rpc.NewAgentProtobufClient(f.opts.Client.URL(address), f.opts.Client.HTTPClient())
	resp, err := agent.Probe(ctx, &rpc.ProbeRequest{
		CatalogVersion: f.opts.Catalog.Version(),
		RouterAddress:  f.opts.RouterAddress,
	})
	f.answered(time.Now(), address, resp, err)
	if err == nil {
		f.opts.Catalog.Seen(resp.GetCatalogVersion(), address)
	}
}

func (f *Fleet) answered(now time.Time, address string, resp *rpc.ProbeResponse, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[address]
	if !ok {
		return
	}
	m.probing = false
	m.probed = now
	c := &f.candidates[m.index]
	if err != nil {
		c.State = rpc.AgentState_AGENT_STATE_DOWN
		return
	}
	c.Incarnation = resp.GetAgent()
	c.Region = resp.GetRegion()
	c.AvailabilityZone = resp.GetAvailabilityZone()
	c.Models = resp.GetModels()
	c.Service = resp.GetService()
	c.Prepare()
	f.health.Join(now, address, healthGroup(resp))
	f.setLoad(now, m, resp.GetLoad())
}

// healthGroup names the endpoints that are compared with each other: those that
// serve the same first model or service.
func healthGroup(resp *rpc.ProbeResponse) string {
	if resp.GetService() != "" {
		return "service/" + resp.GetService()
	}
	if models := resp.GetModels(); len(models) > 0 {
		return "model/" + models[0]
	}
	return ""
}
