package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/loadgen"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	loadDuration       = 10 * time.Second
	slowEngineAfter    = 3 * time.Second
	slowEngineFor      = 4 * time.Second
	slowFactor         = 5
	profileChangeAfter = 5 * time.Second
	progressInterval   = time.Second
	seed               = 1

	// MaxPropagation is the maximum time until a catalog change is in force in every
	// process.
	MaxPropagation = 11 * time.Second
)

// ErrPromiseBroken means that a promise to callers was not kept during the run; the
// report lists which.
var ErrPromiseBroken = errors.New("a promise was broken")

// Run starts a site, runs the demo's scenario and returns the report. It writes
// progress lines to progress; the processes log to log.
func Run(ctx context.Context, progress, log io.Writer) (*Report, error) {
	site, err := Start(ctx, log)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	fmt.Fprintf(progress, "site ready: %d routers, %d agents\n", len(site.Routers), len(site.Agents))
	return site.RunScenario(ctx, progress)
}

// RunScenario sends the demo's load to a running site, slows one engine and changes
// one profile while the load runs, and checks the promises.
func (s *Site) RunScenario(ctx context.Context, progress io.Writer) (*Report, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	change := make(chan propagationResult, 1)
	go func() { change <- s.changeProfile(ctx, progress) }()
	go s.slowFirstEngine(ctx, progress)
	go reportProgress(ctx, progress, began)
	charges := &chargeLog{}
	load, err := loadgen.Run(ctx, loadgen.Options{
		Addresses: s.URLs(),
		Seed:      seed,
		Duration:  loadDuration,
		Classes:   Classes(),
		OnResult:  charges.add,
	})
	if err != nil {
		return nil, err
	}
	return s.report(load, <-change, charges), nil
}

// Classes returns the request classes of the demo's load.
func Classes() []loadgen.Class {
	insurance := []loadgen.APIKey{{Value: InsuranceKey}}
	market := []loadgen.APIKey{{Value: MarketKey}}
	profiles := Catalog().Profiles
	prompts := loadgen.ChatShape{SystemPrompts: 4, SystemTokens: 200, PromptTokens: loadgen.Range{Min: 10, Max: 100}}
	short, medium, long := prompts, prompts, prompts
	short.MaxTokens = loadgen.Range{Min: 20, Max: 60}
	medium.MaxTokens = loadgen.Range{Min: 20, Max: 100}
	long.MaxTokens = loadgen.Range{Min: 300, Max: 900}
	return []loadgen.Class{
		{Name: ProfileUrgent, Profile: ProfileUrgent, APIKeys: insurance, Rate: loadgen.Rate{PerSecond: 15}, Streamed: true, Body: short.Body, Target: profiles[0].Target},
		{Name: ProfileChat, Profile: ProfileChat, APIKeys: market, Rate: chatRate(), Streamed: true, Body: medium.Body, Target: profiles[1].Target},
		{Name: ProfileHistory, Profile: ProfileHistory, APIKeys: market, Rate: loadgen.Rate{PerSecond: 1}, Body: long.Body, Target: profiles[2].Target},
		{
			Name: ProfileCharge, Profile: ProfileCharge, APIKeys: insurance, Rate: loadgen.Rate{PerSecond: 5},
			Path: "/services/ledger/charges", IdempotencyKey: true,
			Body: loadgen.ServiceBody, Verify: loadgen.VerifyServiceCall, Target: profiles[3].Target,
		},
	}
}

// chatRate includes a burst like that at the opening of a market.
func chatRate() loadgen.Rate {
	return loadgen.Rate{
		PerSecond: 15,
		Bursts:    []loadgen.Burst{{Start: 6 * time.Second, Duration: 2 * time.Second, Factor: 3}},
	}
}

func reportProgress(ctx context.Context, w io.Writer, began time.Time) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(began) > loadDuration {
				return
			}
			fmt.Fprintf(w, "%2.0f s of %.0f s\n", now.Sub(began).Seconds(), loadDuration.Seconds())
		}
	}
}

func (s *Site) slowFirstEngine(ctx context.Context, w io.Writer) {
	if sleep(ctx, slowEngineAfter) != nil {
		return
	}
	fmt.Fprintf(w, "engine-1 slowed by a factor of %d\n", slowFactor)
	_ = s.Engines[0].SetFaults(standin.EngineFaults{SlowFactor: slowFactor})
	_ = sleep(ctx, slowEngineFor)
	fmt.Fprintln(w, "engine-1 back at normal speed")
	_ = s.Engines[0].SetFaults(standin.EngineFaults{})
}

// propagationResult is the time until a catalog change was in force in every process,
// or the error that prevented it.
type propagationResult struct {
	took time.Duration
	err  error
}

// changeProfile changes one profile with a conditional write and waits until the
// change is in force in every process.
func (s *Site) changeProfile(ctx context.Context, w io.Writer) propagationResult {
	if err := sleep(ctx, profileChangeAfter); err != nil {
		return propagationResult{err: err}
	}
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: s.tableURL}))
	changed := Catalog().Profiles[1]
	changed.Target.FirstTokenMS = 2500
	accepted, err := store.Put(ctx, time.Now(), catalog.Change{ID: "demo-change", By: "demo", Base: 1, Profile: &changed})
	if err != nil {
		return propagationResult{err: err}
	}
	began := time.Now()
	fmt.Fprintf(w, "profile %s changed, catalog version %d\n", changed.Name, accepted.Version)
	for !s.inForce(accepted.Version) {
		if time.Since(began) > MaxPropagation {
			return propagationResult{took: time.Since(began), err: fmt.Errorf("not in force everywhere after %s", MaxPropagation)}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return propagationResult{err: err}
		}
	}
	return propagationResult{took: time.Since(began)}
}

func (s *Site) inForce(version uint64) bool {
	for _, v := range s.CatalogVersions() {
		if v < version {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// chargeLog records the idempotency keys of charges by the outcome reported to their
// callers.
type chargeLog struct {
	notRun []string
	ran    []string
}

// add records a result. The load generator does not call it concurrently.
func (l *chargeLog) add(r loadgen.Result) {
	if r.Sent.Class != ProfileCharge {
		return
	}
	switch {
	case r.Outcome == loadgen.Whole:
		l.ran = append(l.ran, r.Sent.IdempotencyKey)
	case r.Execution == string(resultcode.NotRun):
		l.notRun = append(l.notRun, r.Sent.IdempotencyKey)
	}
}
