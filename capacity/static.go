package capacity

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// plannedAccounts is the number of client accounts at the planned size.
	plannedAccounts = 840

	staticRounds = 60
	selectRounds = 20_000
)

var (
	accountCounts = []int{10, 105, 210, 420, 840}
	vmCounts      = []int{42, 126, 252, 505, 1010}
	modelCounts   = []int{1, 5, 10, 20}
)

// Accounts measures the catalog against the client accounts: the bytes of one
// adoption, its processor time and the memory of the version in force.
func Accounts() ([]*Series, error) {
	set := newSet(Control, "router and agent", "client accounts", []string{
		"bytes of the document", "bytes of the document after gzip", "bytes of one adoption from the store",
		"bytes of one poll, last change: one profile", "bytes of one poll, last change: all accounts",
		"seconds of processor time per adoption", "bytes of heap of the version in force",
	})
	for _, n := range accountCounts {
		for range repetitions {
			if err := accounts(n, set); err != nil {
				return nil, err
			}
		}
	}
	return set.finish(), nil
}

func accounts(n int, set *set) error {
	body, err := catalog.Encode(Catalog(n))
	if err != nil {
		return err
	}
	site, err := StartSite(n, standin.EngineOptions{})
	if err != nil {
		return err
	}
	defer site.Close()
	wire := &Wire{}
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: site.TableURL, Client: wire.Client(1)}))
	adoption, err := loadBytes(wire, store, 0)
	if err != nil {
		return err
	}
	poll, err := loadBytes(wire, store, siteVersion)
	if err != nil {
		return err
	}
	if _, err := site.Put(catalog.Change{Base: siteVersion, Catalog: heavier(n)}); err != nil {
		return err
	}
	pollAfterMany, err := loadBytes(wire, store, siteVersion+1)
	if err != nil {
		return err
	}
	cpu, heap, err := adoptionCost(body)
	set.add(float64(n), float64(len(body)), float64(gzipBytes(body)), adoption, poll, pollAfterMany, cpu.Seconds(), heap)
	return err
}

// heavier returns a catalog in which each client account differs.
func heavier(accounts int) *catalog.Catalog {
	c := Catalog(accounts)
	for i := range c.ClientAccounts {
		c.ClientAccounts[i].Weight++
	}
	return c
}

func gzipBytes(body []byte) int {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// A buffer accepts every write.
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Len()
}

func loadBytes(wire *Wire, store *catalog.Store, have uint64) (float64, error) {
	before := wire.Traffic()
	_, _, err := store.Load(context.Background(), have)
	return float64(wire.Traffic().Minus(before).Bytes()), err
}

// adoptionCost decodes and indexes a document several times and returns the
// mean processor time and the heap of one index.
func adoptionCost(body []byte) (time.Duration, float64, error) {
	kept := make([]*catalog.Index, staticRounds)
	before := ReadUsage()
	for i := range kept {
		c, err := catalog.DecodeStored(body)
		if err != nil {
			return 0, 0, err
		}
		kept[i] = catalog.NewIndex(c)
	}
	after := ReadUsage()
	heap := float64(after.Heap) - float64(before.Heap)
	runtime.KeepAlive(kept)
	return (after.CPU - before.ResumeCPU) / staticRounds, heap / staticRounds, nil
}

// VMListReads measures one read of the VM list against its entries.
func VMListReads() ([]*Series, error) {
	set := newSet(Control, "router", "entries of the VM list", []string{
		"bytes per read", "seconds of processor time per read, both sides",
	})
	site, err := StartSite(1, standin.EngineOptions{})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	for _, n := range vmCounts {
		var vms []standin.VM
		for i := range n {
			vms = append(vms, listedVM(i, standin.RoleAgent, fmt.Sprintf("10.%d.%d.%d:7002", i%8, i/200, 1+i*37%250)))
		}
		if err := site.VMs.Set(vms); err != nil {
			return nil, err
		}
		for range repetitions {
			if err := vmListReads(site, n, set); err != nil {
				return nil, err
			}
		}
	}
	return set.finish(), nil
}

func vmListReads(site *Site, n int, set *set) error {
	wire := &Wire{}
	list := storage.NewVMList(storage.Options{URL: site.VMsURL, Client: wire.Client(1)})
	before := ReadUsage()
	for range staticRounds {
		if _, err := list.List(context.Background()); err != nil {
			return err
		}
	}
	after := ReadUsage()
	cpu := (after.CPU - before.ResumeCPU).Seconds() / staticRounds
	set.add(float64(n), perCall(wire.Traffic()), cpu)
	return nil
}

// Selections measures the choice of an endpoint against the endpoints, with the
// planned 20 models, and against the models, with the planned 600 endpoints.
func Selections() ([]*Series, error) {
	cost := []string{"seconds of processor time per selection"}
	byEndpoints := newSet(Data, "router", "endpoints known", cost)
	byModels := newSet(Data, "router", "models, 600 endpoints", cost)
	probe := newSet(Control, "router and agent", "models of one endpoint", []string{"bytes of a probe's answer, encoded"})
	for range repetitions {
		for _, n := range endpointCounts {
			seconds, err := selections(n, 20)
			if err != nil {
				return nil, err
			}
			byEndpoints.add(float64(n), seconds)
		}
		for _, n := range modelCounts {
			seconds, err := selections(600, n)
			if err != nil {
				return nil, err
			}
			byModels.add(float64(n), seconds)
			probe.add(float64(n), float64(probeBytes(n)))
		}
	}
	return append(append(byEndpoints.finish(), byModels.finish()...), probe.finish()...), nil
}

func selections(endpoints, models int) (float64, error) {
	now := time.Now()
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := make([]selection.Candidate, endpoints)
	for i := range candidates {
		candidates[i] = selection.Candidate{
			ID:               fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			Region:           region,
			AvailabilityZone: fmt.Sprintf("ro-sud-%c", 'a'+i%4),
			Models:           []string{fmt.Sprintf("model-%d", i%models)},
			State:            rpc.AgentState_AGENT_STATE_SERVING,
			Health:           selection.Health{Weight: 1},
			Load:             selection.Load{At: now, Running: i % 64, Limit: 256},
		}
		candidates[i].Prepare()
	}
	request := selection.Request{Model: "model-0", Region: region, AvailabilityZone: zone}
	before := ReadUsage()
	for range selectRounds {
		if _, err := selection.Select(now, rng, request, candidates); err != nil {
			return 0, err
		}
	}
	after := ReadUsage()
	return (after.CPU - before.ResumeCPU).Seconds() / selectRounds, nil
}

func probeBytes(models int) int {
	answer := &rpc.ProbeResponse{
		Agent:            "agent-ro-sud-a-9e3779b1-00000000-0000-0000-0000-000000000000",
		CatalogVersion:   340,
		Load:             &rpc.Load{Queued: 3, Running: 200, Limit: 256, TierDelayMs: []uint32{0, 10, 200}},
		AvailabilityZone: zone,
		Region:           region,
	}
	for i := range models {
		answer.Models = append(answer.Models, fmt.Sprintf("model-%02d:2026-11-01", i))
	}
	return proto.Size(answer)
}
