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
	sitePoll    = 50 * time.Millisecond
	siteTimeout = time.Minute

	// siteVersion is the catalog version of a new site.
	siteVersion = 2

	// callerKey is the API key of a client account, with its number.
	callerKey = "capacity-key-%d"
)

// Site is the environment of the subjects: the platform's stand-ins, an engine
// and light agents in this process.
type Site struct {
	Table  *standin.Table
	VMs    *standin.VMList
	Engine *standin.Engine

	TableURL, VMsURL, ObjectsURL, EngineURL string

	Agents  []*agent.Agent
	listed  []standin.VM
	running context.Context
	stop    context.CancelFunc
	group   errgroup.Group
	closers []func()
}

// StartSite starts the stand-ins with a catalog of the given number of client
// accounts.
func StartSite(accounts int, engine standin.EngineOptions) (*Site, error) {
	s := &Site{
		Table:  standin.NewTable(standin.TableOptions{}),
		VMs:    standin.NewVMList(standin.VMListOptions{}),
		Engine: standin.NewEngine(engine),
	}
	s.running, s.stop = context.WithCancel(context.Background())
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
	if err := s.firstVersions(Catalog(accounts)); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// firstVersions puts the catalog and then a change of one profile, because the
// row that is polled holds the differences of the last change.
func (s *Site) firstVersions(c *catalog.Catalog) error {
	if _, err := s.Put(catalog.Change{Catalog: c}); err != nil {
		return err
	}
	changed := c.Profiles[1]
	changed.Target.FirstTokenMS++
	_, err := s.Put(catalog.Change{Base: 1, Profile: &changed})
	return err
}

// Put makes a change of the catalog; its id and author are set here.
func (s *Site) Put(change catalog.Change) (*catalog.Catalog, error) {
	ctx, cancel := context.WithTimeout(context.Background(), siteTimeout)
	defer cancel()
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: s.TableURL}))
	change.ID, change.By = fmt.Sprintf("change-%d", change.Base+1), "capacity"
	return store.Put(ctx, time.Now(), change)
}

func (s *Site) serve(handler http.Handler) (string, error) {
	server, err := httpserver.Listen("stand-in", loopback, handler, nil)
	if err != nil {
		return "", err
	}
	s.group.Go(func() error { return server.Serve(s.running) })
	return "http://" + server.Address(), nil
}

// AddAgents starts light agents in this process until there are n, and lists
// them.
func (s *Site) AddAgents(n int) error {
	client := (&Wire{}).Client(n)
	transport := dispatch.NewTransport()
	for i := len(s.Agents); i < n; i++ {
		a, err := agent.New(agent.Options{
			Name:             fmt.Sprintf("agent-%d", i),
			Region:           region,
			AvailabilityZone: zone,
			PeersAddress:     loopback,
			AdminAddress:     loopback,
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
		s.group.Go(func() error { return a.Serve(s.running, s.running) })
		s.List(a.PeersAddress())
	}
	return s.VMs.Set(s.listed)
}

// List adds an agent's address to the VM list that the next Set publishes.
func (s *Site) List(address string) {
	s.listed = append(s.listed, listedVM(len(s.listed), standin.RoleAgent, address))
}

// listedVM is an entry as a platform would name it.
func listedVM(i int, role, address string) standin.VM {
	return standin.VM{
		Name:             fmt.Sprintf("%s-%s-%08x", role, zone, uint32(i)*2654435761),
		Role:             role,
		Address:          address,
		Region:           region,
		AvailabilityZone: zone,
		State:            standin.StateLive,
	}
}

// Subject starts a router or agent beside the site.
func (s *Site) Subject(role settings.Role, name string, slots int) (*Subject, error) {
	return StartSubject(SubjectConfig{
		Role: role, Name: name, TableURL: s.TableURL, ObjectsURL: s.ObjectsURL,
		VMsURL: s.VMsURL, EndpointURL: s.EngineURL, Slots: slots,
	})
}

// await polls until the condition holds.
func await(what string, ready func() (bool, error)) error {
	end := time.Now().Add(siteTimeout)
	for {
		ok, err := ready()
		if err != nil || ok {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %s", what, siteTimeout)
		}
		time.Sleep(sitePoll)
	}
}

// Close stops the agents and the stand-ins.
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
			KeyHashes:      []string{catalog.HashKey(fmt.Sprintf(callerKey, i))},
			DefaultProfile: c.Profiles[i%3].Name,
			Profiles:       []string{"urgent", "standard", "batch"},
			Weight:         1 + i%4,
		})
	}
	return c
}
