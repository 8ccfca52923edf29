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

	staticIterations = 60
	selectIterations = 20_000
)

var (
	accountCounts = []int{10, 105, 210, 420, 840}
	vmCounts      = []int{42, 126, 252, 505, 1010}
	modelCounts   = []int{1, 5, 10, 20}
)

// MeasureAccounts measures the catalog against the number of client accounts: the
// bytes of one adoption, its processor time and the memory of the version in
// force.
func MeasureAccounts() ([]*Series, error) {
	group := newSeriesGroup(Control, "router and agent", "client accounts", []string{
		"bytes of the document", "bytes of the document after gzip", "bytes of one adoption from the store",
		"bytes of one poll, last change: one profile", "bytes of one poll, last change: all accounts",
		"seconds of processor time per adoption", "bytes of heap of the version in force",
	})
	for _, n := range accountCounts {
		for range repetitions {
			if err := measureAccounts(n, group); err != nil {
				return nil, err
			}
		}
	}
	return group.finish(), nil
}

func measureAccounts(n int, group *seriesGroup) error {
	body, err := catalog.Encode(Catalog(n))
	if err != nil {
		return err
	}
	site, err := StartSite(n, standin.EngineOptions{})
	if err != nil {
		return err
	}
	defer site.Close()
	counter := &TrafficCounter{}
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: site.TableURL, Client: counter.Client(1)}))
	adoption, err := storeLoadBytes(counter, store, 0)
	if err != nil {
		return err
	}
	poll, err := storeLoadBytes(counter, store, siteVersion)
	if err != nil {
		return err
	}
	if _, err := site.PutCatalog(catalog.Change{Base: siteVersion, Catalog: reweightedCatalog(n)}); err != nil {
		return err
	}
	pollAfterMany, err := storeLoadBytes(counter, store, siteVersion+1)
	if err != nil {
		return err
	}
	cpu, heap, err := adoptionCost(body)
	group.add(float64(n), float64(len(body)), float64(gzipSize(body)), adoption, poll, pollAfterMany, cpu.Seconds(), heap)
	return err
}

// reweightedCatalog returns Catalog(accounts) with the weight of every client
// account changed.
func reweightedCatalog(accounts int) *catalog.Catalog {
	c := Catalog(accounts)
	for i := range c.ClientAccounts {
		c.ClientAccounts[i].Weight++
	}
	return c
}

func gzipSize(body []byte) int {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Len()
}

func storeLoadBytes(counter *TrafficCounter, store *catalog.Store, have uint64) (float64, error) {
	before := counter.Traffic()
	_, _, err := store.Load(context.Background(), have)
	return float64(counter.Traffic().Minus(before).Bytes()), err
}

// adoptionCost decodes and indexes a document staticIterations times and returns
// the mean processor time and the heap bytes of one index.
func adoptionCost(body []byte) (time.Duration, float64, error) {
	indexes := make([]*catalog.Index, staticIterations)
	before := ReadUsage()
	for i := range indexes {
		c, err := catalog.DecodeStored(body)
		if err != nil {
			return 0, 0, err
		}
		indexes[i] = catalog.NewIndex(c)
	}
	after := ReadUsage()
	heap := float64(after.Heap) - float64(before.Heap)
	runtime.KeepAlive(indexes)
	return (after.CPU - before.GCDoneCPU) / staticIterations, heap / staticIterations, nil
}

// MeasureVMListReads measures one read of the VM list against the number of its
// entries.
func MeasureVMListReads() ([]*Series, error) {
	group := newSeriesGroup(Control, "router", "entries of the VM list", []string{
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
			vms = append(vms, vmListEntry(i, standin.RoleAgent, fmt.Sprintf("10.%d.%d.%d:7002", i%8, i/200, 1+i*37%250)))
		}
		if err := site.VMs.Set(vms); err != nil {
			return nil, err
		}
		for range repetitions {
			if err := measureVMListReads(site, n, group); err != nil {
				return nil, err
			}
		}
	}
	return group.finish(), nil
}

func measureVMListReads(site *Site, n int, group *seriesGroup) error {
	counter := &TrafficCounter{}
	list := storage.NewVMList(storage.Options{URL: site.VMsURL, Client: counter.Client(1)})
	before := ReadUsage()
	for range staticIterations {
		if _, err := list.List(context.Background()); err != nil {
			return err
		}
	}
	after := ReadUsage()
	cpu := (after.CPU - before.GCDoneCPU).Seconds() / staticIterations
	group.add(float64(n), bytesPerCall(counter.Traffic()), cpu)
	return nil
}

// MeasureSelections measures the selection of an endpoint against the number of
// endpoints, with the planned 20 models, and against the number of models, with
// the planned 600 endpoints.
func MeasureSelections() ([]*Series, error) {
	cost := []string{"seconds of processor time per selection"}
	byEndpoints := newSeriesGroup(Data, "router", "endpoints known", cost)
	byModels := newSeriesGroup(Data, "router", "models, 600 endpoints", cost)
	probe := newSeriesGroup(Control, "router and agent", "models of one endpoint", []string{"bytes of a probe's answer, encoded"})
	for range repetitions {
		for _, n := range endpointCounts {
			seconds, err := selectionSeconds(n, 20)
			if err != nil {
				return nil, err
			}
			byEndpoints.add(float64(n), seconds)
		}
		for _, n := range modelCounts {
			seconds, err := selectionSeconds(600, n)
			if err != nil {
				return nil, err
			}
			byModels.add(float64(n), seconds)
			probe.add(float64(n), float64(probeAnswerSize(n)))
		}
	}
	return append(append(byEndpoints.finish(), byModels.finish()...), probe.finish()...), nil
}

func selectionSeconds(endpoints, models int) (float64, error) {
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
	for range selectIterations {
		if _, err := selection.Select(now, rng, request, candidates); err != nil {
			return 0, err
		}
	}
	after := ReadUsage()
	return (after.CPU - before.GCDoneCPU).Seconds() / selectIterations, nil
}

func probeAnswerSize(models int) int {
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
