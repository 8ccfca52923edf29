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

// Keys of examples/.
const (
	insuranceKey = "insurance-key"
	marketKey    = "market-key"
	operatorKey  = "operator-key"
)

const (
	examples = "../examples"

	// slowFactor makes streams last long enough to see them in progress, also on a
	// loaded machine. Engines are slow from the start, so that routers learn
	// first-token times that stay valid until awaitTokens ends the slowness.
	slowFactor = 4

	// looksBetweenStreams is the number of looks at the engines before more streams
	// are sent.
	looksBetweenStreams = 100
)

// places bounds the sites that run at the same time.
var places = make(chan struct{}, 4)

// client sends each request once: a key as idempotency-key keeps net/http from
// repeating a request, and a connection of its own keeps requests independent.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   limit,
}

// site is the site of examples/ with ports that the kernel chose.
type site struct {
	t                      *testing.T
	dir                    string
	table, objects, vmlist *process
	engines, ledgers       []*process
	// agents by name, such as engine-agent-1.
	agents  map[string]*process
	routers []*process
	// listed replaces the address of an agent in the VM list.
	listed map[string]string
}

// newSite starts everything but the routers and the VM list.
func newSite(t *testing.T) *site {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	s := &site{t: t, dir: t.TempDir(), agents: make(map[string]*process), listed: make(map[string]string)}
	s.table = s.standin("table")
	s.objects = s.standin("objects")
	s.vmlist = s.standin("vmlist")
	code, out := command(t, "catalog", "init", filepath.Join(examples, "catalog.json"), "--table", s.table.url("address"), "--by", "test")
	if code != 0 {
		t.Fatalf("catalog init: %s", out)
	}
	for i := 1; i <= 2; i++ {
		s.engines = append(s.engines, s.standin("engine"))
		s.faults(s.engines[i-1], standin.EngineFaults{SlowFactor: slowFactor})
		s.ledgers = append(s.ledgers, s.standin("ledger"))
		s.startAgent(fmt.Sprintf("engine-agent-%d", i))
		s.startAgent(fmt.Sprintf("ledger-agent-%d", i))
	}
	return s
}

// startSite starts the whole site and waits until every router knows every
// agent.
func startSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t)
	s.list()
	s.startRouter("router-1")
	s.startRouter("router-2")
	s.list()
	return s
}

func (s *site) standin(kind string) *process {
	s.t.Helper()
	return start(s.t, kind, "standin", kind)
}

// startAgent starts an agent, again with the same addresses if it ran before.
func (s *site) startAgent(name string) *process {
	s.t.Helper()
	endpoint := s.engines
	if strings.HasPrefix(name, "ledger") {
		endpoint = s.ledgers
	}
	index := int(name[len(name)-1] - '1')
	p := s.daemon("agent", name, func(doc document) {
		doc["endpoint"].(document)["url"] = endpoint[index].url("address")
	}, s.agents[name])
	s.agents[name] = p
	await(s.t, name+" is ready", func() error { return get(p.url("admin")+"/readyz", nil) })
	return p
}

// startRouter starts a router and waits until it knows every agent.
func (s *site) startRouter(name string) *process {
	s.t.Helper()
	p := s.daemon("router", name, func(document) {}, nil)
	s.routers = append(s.routers, p)
	await(s.t, name+" knows the endpoints", func() error { return s.knowsAll(p) })
	return p
}

// knowsAll checks that a router is ready and sends work to every agent.
func (s *site) knowsAll(router *process) error {
	if err := get(router.url("admin")+"/readyz", nil); err != nil {
		return err
	}
	return s.reachesAll(router)
}

// document is a decoded settings file; only the fields to replace are looked at.
type document = map[string]any

// daemon starts a router or agent with the settings of examples/, changed to
// this site's addresses.
func (s *site) daemon(role, name string, change func(document), previous *process) *process {
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
	// One availability zone, so that both agents of a kind receive work.
	doc["availability_zone"] = "local-a"
	change(doc)
	path := filepath.Join(s.dir, name+".json")
	if data, err = json.Marshal(doc); err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return start(s.t, name, role, "--settings", path)
}

// list writes the VM list with the processes that run now.
func (s *site) list() {
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
		if other := s.listed[name]; other != "" {
			address = other
		}
		add(name, standin.RoleAgent, address)
	}
	for _, p := range s.routers {
		add(p.name, standin.RoleRouter, p.addresses["peers"])
	}
	s.send(http.MethodPut, s.vmlist.url("address")+"/vms", map[string][]standin.VM{"vms": vms})
}

// faults sets the faults of a stand-in.
func (s *site) faults(p *process, faults any) {
	s.t.Helper()
	s.send(http.MethodPost, p.url("address")+"/faults", faults)
}

func (s *site) send(method, url string, body any) {
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

// get reads a JSON document as an operator; a nil target reads nothing.
func get(url string, into any) error {
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

func (s *site) stats(engine int) standin.EngineStats {
	s.t.Helper()
	var stats standin.EngineStats
	if err := get(s.engines[engine].url("address")+"/stats", &stats); err != nil {
		s.t.Fatal(err)
	}
	return stats
}

// awaitTokens waits until every engine is in the middle of at least n streams,
// with more of them where routers chose the engines unevenly. The engines then
// run at normal speed.
func (s *site) awaitTokens(n int, streams *traffic) {
	s.t.Helper()
	looks := 0
	await(s.t, "streams are running", func() error {
		for i := range s.engines {
			stats := s.stats(i)
			if open := stats.Started - stats.Completed - stats.Cancelled; open < n || stats.Tokens-streams.tokens[i] < 3*open {
				if looks++; looks%looksBetweenStreams == 0 {
					streams.send(2)
				}
				return fmt.Errorf("engine %d: %+v", i+1, stats)
			}
		}
		return nil
	})
	for _, p := range s.engines {
		s.faults(p, standin.EngineFaults{})
	}
}

// runs counts the calls in the logs of both ledgers by key.
func (s *site) runs() map[string]int {
	s.t.Helper()
	runs := make(map[string]int)
	for _, p := range s.ledgers {
		var calls []standin.ServiceCall
		if err := get(p.url("address")+"/log", &calls); err != nil {
			s.t.Fatal(err)
		}
		for _, c := range calls {
			runs[c.IdempotencyKey]++
		}
	}
	return runs
}

// claims counts the claim rows in the table.
func (s *site) claims() int {
	s.t.Helper()
	rows, _, err := platform.NewTable(storage.Options{URL: s.table.url("address")}).List(s.t.Context(), "claim/", "", storage.MaxListRows)
	if err != nil {
		s.t.Fatal(err)
	}
	return len(rows)
}

// version returns the catalog version in force in a process.
func version(p *process) (uint64, error) {
	var status admin.Status
	err := get(p.url("admin")+"/v1/status", &status)
	return status.CatalogVersion, err
}

// awaitVersion waits until a version is in force in every named process.
func (s *site) awaitVersion(want uint64, list ...*process) {
	s.t.Helper()
	for _, p := range list {
		await(s.t, fmt.Sprintf("version %d is in force in %s", want, p.name), func() error {
			have, err := version(p)
			if err == nil && have < want {
				err = fmt.Errorf("version %d is in force", have)
			}
			return err
		})
	}
}

// all lists the routers and agents.
func (s *site) all() []*process {
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

// putProfile changes a profile by the command line, through one router.
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
	return command(s.t, "profile", "put", path, "--base", fmt.Sprint(base), "--admin", router.url("admin"), "--key", operatorKey)
}
