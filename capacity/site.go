package capacity

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/agent"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	conditionPollInterval = 50 * time.Millisecond
	conditionTimeout      = time.Minute

	// siteVersion is the catalog version of a new site, after its two initial
	// writes.
	siteVersion = 2

	// apiKeyFormat gives the API key of the client account with a number.
	apiKeyFormat = "capacity-key-%d"
)

// Site is the environment of the measured processes: stand-ins for the platform
// services, a stand-in engine and unmeasured agents, all in this process.
type Site struct {
	Table  *standin.Table
	VMs    *standin.VMList
	Engine *standin.Engine

	TableURL, VMsURL, ObjectsURL, EngineURL string

	Agents    []*agent.Agent
	listedVMs []standin.VM
	ctx       context.Context
	stop      context.CancelFunc
	group     errgroup.Group
	closers   []func()
}

// StartSite starts the stand-ins with a catalog that has the given number of
// client accounts.
func StartSite(accounts int, engine standin.EngineOptions) (*Site, error) {
	s := &Site{
		Table:  standin.NewTable(standin.TableOptions{}),
		VMs:    standin.NewVMList(standin.VMListOptions{}),
		Engine: standin.NewEngine(engine),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	s.closers = append(s.closers, s.Table.Close, s.VMs.Close, s.Engine.Close, objects.Close)
	handlers := []struct {
		url     *string
		handler http.Handler
	}{{&s.TableURL, s.Table}, {&s.VMsURL, s.VMs}, {&s.EngineURL, s.Engine}, {&s.ObjectsURL, objects}}
	for _, h := range handlers {
		var err error
		if *h.url, err = s.serve(h.handler); err != nil {
			s.Close()
			return nil, err
		}
	}
	if err := s.putInitialVersions(Catalog(accounts)); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// putInitialVersions writes the catalog and then a change of one profile. The
// second write gives polls their usual size, because the polled row holds the
// differences of the last change.
func (s *Site) putInitialVersions(c *catalog.Catalog) error {
	if _, err := s.PutCatalog(catalog.Change{Catalog: c}); err != nil {
		return err
	}
	changed := c.Profiles[1]
	changed.Target.FirstTokenMS++
	_, err := s.PutCatalog(catalog.Change{Base: 1, Profile: &changed})
	return err
}

// PutCatalog applies a change to the catalog after setting its id and author.
func (s *Site) PutCatalog(change catalog.Change) (*catalog.Catalog, error) {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: s.TableURL}))
	change.ID, change.By = fmt.Sprintf("change-%d", change.Base+1), "capacity"
	return store.Put(ctx, time.Now(), change)
}

func (s *Site) serve(handler http.Handler) (string, error) {
	server, err := httpserver.Listen("stand-in", loopbackAddress, handler, nil)
	if err != nil {
		return "", err
	}
	s.group.Go(func() error { return server.Serve(s.ctx) })
	return "http://" + server.Address(), nil
}

// AddAgents starts agents in this process until there are n, and publishes them
// in the VM list.
func (s *Site) AddAgents(n int) error {
	client := (&TrafficCounter{}).Client(n)
	transport := dispatch.NewTransport()
	for i := len(s.Agents); i < n; i++ {
		a, err := agent.New(agent.Options{
			Name:             fmt.Sprintf("agent-%d", i),
			Region:           region,
			AvailabilityZone: zone,
			PeersAddress:     loopbackAddress,
			AdminAddress:     loopbackAddress,
			EndpointURL:      s.EngineURL,
			Table:            platform.NewTable(storage.Options{URL: s.TableURL, Client: client}),
			Objects:          platform.NewObjectStore(storage.Options{URL: s.ObjectsURL, Client: client}),
			PeerTransport:    transport,
			DrainTimeout:     time.Second,
			Log:              zerolog.Nop(),
		})
		if err != nil {
			return err
		}
		s.Agents = append(s.Agents, a)
		s.group.Go(func() error { return a.Serve(s.ctx, s.ctx) })
		s.AddToVMList(a.PeersAddress())
	}
	return s.VMs.Set(s.listedVMs)
}

// AddToVMList adds an agent's address to listedVMs. The next call of VMs.Set
// publishes it.
func (s *Site) AddToVMList(address string) {
	s.listedVMs = append(s.listedVMs, vmListEntry(len(s.listedVMs), standin.RoleAgent, address))
}

// vmListEntry returns a VM list entry with a name of the length that a platform
// would give it.
func vmListEntry(i int, role, address string) standin.VM {
	return standin.VM{
		Name:             fmt.Sprintf("%s-%s-%08x", role, zone, uint32(i)*2654435761),
		Role:             role,
		Address:          address,
		Region:           region,
		AvailabilityZone: zone,
		State:            standin.StateLive,
	}
}

// StartProcess starts a measured router or agent as a process of its own that
// uses the site.
func (s *Site) StartProcess(role settings.Role, name string, slots int) (*Process, error) {
	return StartProcess(ProcessConfig{
		Role: role, Name: name, TableURL: s.TableURL, ObjectsURL: s.ObjectsURL,
		VMsURL: s.VMsURL, EndpointURL: s.EngineURL, Slots: slots,
	})
}

// await polls until the condition holds, it returns an error or conditionTimeout
// has passed.
func await(what string, ready func() (bool, error)) error {
	end := time.Now().Add(conditionTimeout)
	for {
		ok, err := ready()
		if err != nil || ok {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %s", what, conditionTimeout)
		}
		time.Sleep(conditionPollInterval)
	}
}

// Close stops the agents in this process and the stand-ins.
func (s *Site) Close() {
	s.stop()
	_ = s.group.Wait()
	for _, closer := range s.closers {
		closer()
	}
}

// Catalog returns a catalog with the planned profiles and the given number of
// client accounts, each with one key.
func Catalog(accounts int) *catalog.Catalog {
	c := &catalog.Catalog{}
	for tier, name := range []string{"urgent", "standard", "batch"} {
		c.Profiles = append(c.Profiles, catalog.Profile{
			Name: name, Tier: tier, Idempotent: true,
			Target: catalog.Target{FirstTokenMS: 1500, InterTokenMS: 44},
			Limits: catalog.Limits{MaxWaitMS: 5000},
		})
	}
	c.Profiles = append(c.Profiles, catalog.Profile{Name: "charge", Target: catalog.Target{WholeMS: 1000}})
	for i := range accounts {
		c.ClientAccounts = append(c.ClientAccounts, catalog.ClientAccount{
			Name:           fmt.Sprintf("account-%04d", i),
			KeyHashes:      []string{catalog.HashKey(fmt.Sprintf(apiKeyFormat, i))},
			DefaultProfile: c.Profiles[i%3].Name,
			Profiles:       []string{"urgent", "standard", "batch"},
			Weight:         1 + i%4,
		})
	}
	return c
}
