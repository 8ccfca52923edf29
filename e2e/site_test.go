package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

// API keys of examples/.
const (
	insuranceKey = "insurance-key"
	marketKey    = "market-key"
	operatorKey  = "operator-key"
)

const (
	examples = "../examples"

	// slowFactor slows the engines, so that streams last long enough to be observed in
	// progress, also on a loaded machine. Engines are slow from the start, so that the
	// first-token times that routers learn stay valid until awaitTokens restores the
	// normal speed.
	slowFactor = 4

	// pollsBetweenStreams is the number of polls in awaitTokens after which it sends
	// more streams.
	pollsBetweenStreams = 100
)

// siteSlots is a semaphore that limits the sites that run at the same time.
var siteSlots = make(chan struct{}, 4)

// client sends each request once and on a connection of its own, so that requests are
// independent. Requests with a key name the header idempotency-key in lower case,
// since net/http may send a request with the canonical Idempotency-Key again by itself.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   waitLimit,
}

// site is a site with the settings of examples/ on ports chosen by the kernel.
type site struct {
	t                      *testing.T
	dir                    string
	table, objects, vmlist *process
	engines, ledgers       []*process
	// agents are keyed by name, such as engine-agent-1.
	agents  map[string]*process
	routers []*process
	// advertisedAddress overrides the address of an agent in the VM list, by agent name.
	advertisedAddress map[string]string
}

// newSite starts a site without routers and with an empty VM list.
func newSite(t *testing.T) *site {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	s := &site{t: t, dir: t.TempDir(), agents: make(map[string]*process), advertisedAddress: make(map[string]string)}
	s.table = s.startStandIn("table")
	s.objects = s.startStandIn("objects")
	s.vmlist = s.startStandIn("vmlist")
	code, out := runCommand(t, "catalog", "init", filepath.Join(examples, "catalog.json"), "--table", s.table.url("address"), "--by", "test")
	if code != 0 {
		t.Fatalf("catalog init: %s", out)
	}
	for i := 1; i <= 2; i++ {
		s.engines = append(s.engines, s.startStandIn("engine"))
		s.setFaults(s.engines[i-1], standin.EngineFaults{SlowFactor: slowFactor})
		s.ledgers = append(s.ledgers, s.startStandIn("ledger"))
		s.startAgent(fmt.Sprintf("engine-agent-%d", i))
		s.startAgent(fmt.Sprintf("ledger-agent-%d", i))
	}
	return s
}

// startSite starts a complete site and waits until every router sends work to every
// agent.
func startSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t)
	s.writeVMList()
	s.startRouter("router-1")
	s.startRouter("router-2")
	s.writeVMList()
	return s
}

func (s *site) startStandIn(kind string) *process {
	s.t.Helper()
	return startProcess(s.t, kind, "standin", kind)
}

// startAgent starts an agent and waits until it is ready. An agent that ran before
// gets the same addresses again.
func (s *site) startAgent(name string) *process {
	s.t.Helper()
	endpoint := s.engines
	if strings.HasPrefix(name, "ledger") {
		endpoint = s.ledgers
	}
	index := int(name[len(name)-1] - '1')
	p := s.startDaemon("agent", name, func(doc document) {
		doc["endpoint"].(document)["url"] = endpoint[index].url("address")
	}, s.agents[name])
	s.agents[name] = p
	await(s.t, name+" is ready", func() error { return getJSON(p.url("admin")+"/readyz", nil) })
	return p
}

// startRouter starts a router and waits until it sends work to every agent.
func (s *site) startRouter(name string) *process {
	s.t.Helper()
	p := s.startDaemon("router", name, func(document) {}, nil)
	s.routers = append(s.routers, p)
	await(s.t, name+" knows the endpoints", func() error { return s.checkReadyAndReachesAll(p) })
	return p
}

// checkReadyAndReachesAll checks that a router is ready and sends work to every agent.
func (s *site) checkReadyAndReachesAll(router *process) error {
	if err := getJSON(router.url("admin")+"/readyz", nil); err != nil {
		return err
	}
	return s.checkReachesAll(router)
}

// document is a decoded settings file, in which tests replace some fields.
type document = map[string]any

// startDaemon starts a router or agent with the settings of examples/, in which it
// replaces the addresses and applies change. With previous it listens on the addresses
// of that process.
func (s *site) startDaemon(role, name string, change func(document), previous *process) *process {
	s.t.Helper()
	data, err := os.ReadFile(filepath.Join(examples, name+".json"))
	if err != nil {
		s.t.Fatal(err)
	}
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		s.t.Fatal(err)
	}
	doc["platform"] = document{
		"table_url":   s.table.url("address"),
		"objects_url": s.objects.url("address"),
		"vm_list_url": s.vmlist.url("address"),
	}
	listen := doc["listen"].(document)
	for listener := range listen {
		listen[listener] = "127.0.0.1:0"
		if previous != nil {
			listen[listener] = previous.addresses[listener]
		}
	}
	// All processes share one availability zone, so that both agents of a kind receive
	// work.
	doc["availability_zone"] = "local-a"
	change(doc)
	path := filepath.Join(s.dir, name+".json")
	if data, err = json.Marshal(doc); err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return startProcess(s.t, name, role, "--settings", path)
}

// writeVMList replaces the VM list with the site's agents and routers.
func (s *site) writeVMList() {
	s.t.Helper()
	var vms []standin.VM
	add := func(name, role, address string) {
		vms = append(vms, standin.VM{
			Name: name, Role: role, Address: address,
			Region: "local", AvailabilityZone: "local-a", State: standin.StateLive,
		})
	}
	for name, p := range s.agents {
		address := p.addresses["peers"]
		if other := s.advertisedAddress[name]; other != "" {
			address = other
		}
		add(name, standin.RoleAgent, address)
	}
	for _, p := range s.routers {
		add(p.name, standin.RoleRouter, p.addresses["peers"])
	}
	s.sendJSON(http.MethodPut, s.vmlist.url("address")+"/vms", map[string][]standin.VM{"vms": vms})
}

// setFaults replaces the faults of a stand-in.
func (s *site) setFaults(p *process, faults any) {
	s.t.Helper()
	s.sendJSON(http.MethodPost, p.url("address")+"/faults", faults)
}

func (s *site) sendJSON(method, url string, body any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		s.t.Fatalf("%s %s: %d %s", method, url, resp.StatusCode, text)
	}
}

// getJSON sends a GET request with the operator's key and decodes the response unless
// into is nil. A status other than 200 is an error.
func getJSON(url string, into any) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %d %s", url, resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

func (s *site) engineStats(engine int) standin.EngineStats {
	s.t.Helper()
	var stats standin.EngineStats
	if err := getJSON(s.engines[engine].url("address")+"/stats", &stats); err != nil {
		s.t.Fatal(err)
	}
	return stats
}

// awaitTokens waits until every engine has at least n streams open and has generated
// three tokens per open stream on average. It sends more streams if the routers distribute them unevenly.
// Afterwards it sets the engines to normal speed.
func (s *site) awaitTokens(n int, streams *traffic) {
	s.t.Helper()
	polls := 0
	await(s.t, "streams are running", func() error {
		for i := range s.engines {
			stats := s.engineStats(i)
			if open := stats.Started - stats.Completed - stats.Cancelled; open < n || stats.Tokens-streams.tokensBefore[i] < 3*open {
				if polls++; polls%pollsBetweenStreams == 0 {
					streams.send(2)
				}
				return fmt.Errorf("engine %d: %+v", i+1, stats)
			}
		}
		return nil
	})
	for _, p := range s.engines {
		s.setFaults(p, standin.EngineFaults{})
	}
}

// runsByKey returns the number of calls in the logs of both ledgers by idempotency
// key.
func (s *site) runsByKey() map[string]int {
	s.t.Helper()
	runs := make(map[string]int)
	for _, p := range s.ledgers {
		var calls []standin.ServiceCall
		if err := getJSON(p.url("address")+"/log", &calls); err != nil {
			s.t.Fatal(err)
		}
		for _, c := range calls {
			runs[c.IdempotencyKey]++
		}
	}
	return runs
}

// countClaims returns the number of claim rows in the table.
func (s *site) countClaims() int {
	s.t.Helper()
	rows, _, err := platform.NewTable(storage.Options{URL: s.table.url("address")}).List(s.t.Context(), "claim/", "", storage.MaxListRows)
	if err != nil {
		s.t.Fatal(err)
	}
	return len(rows)
}

// catalogVersion returns the catalog version in force in a process.
func catalogVersion(p *process) (uint64, error) {
	var status admin.Status
	err := getJSON(p.url("admin")+"/v1/status", &status)
	return status.CatalogVersion, err
}

// awaitVersion waits until at least the given catalog version is in force in each of
// the processes.
func (s *site) awaitVersion(want uint64, list ...*process) {
	s.t.Helper()
	for _, p := range list {
		await(s.t, fmt.Sprintf("version %d is in force in %s", want, p.name), func() error {
			have, err := catalogVersion(p)
			if err == nil && have < want {
				err = fmt.Errorf("version %d is in force", have)
			}
			return err
		})
	}
}

// allDaemons returns the routers and agents.
func (s *site) allDaemons() []*process {
	list := append([]*process{}, s.routers...)
	for p := range maps.Values(s.agents) {
		list = append(list, p)
	}
	return list
}

// profile returns a profile of examples/catalog.json.
func (s *site) profile(name string) catalog.Profile {
	s.t.Helper()
	data, err := os.ReadFile(filepath.Join(examples, "catalog.json"))
	if err != nil {
		s.t.Fatal(err)
	}
	c, err := catalog.Decode(data)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, p := range c.Profiles {
		if p.Name == name {
			return p
		}
	}
	s.t.Fatalf("no profile %s", name)
	return catalog.Profile{}
}

// putProfile changes a profile with the command line tool through one router.
func (s *site) putProfile(router *process, p catalog.Profile, base uint64) (exitCode int, output string) {
	s.t.Helper()
	data, err := json.Marshal(p)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, fmt.Sprintf("%s-%s-%d.json", p.Name, router.name, p.Target.FirstTokenMS))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return runCommand(s.t, "profile", "put", path, "--base", fmt.Sprint(base), "--admin", router.url("admin"), "--key", operatorKey)
}
