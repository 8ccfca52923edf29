// Package site runs the decisions of routers and agents together on virtual time
// against modelled engines, and measures what each class of requests received. It
// extends package measure from one endpoint to a site. Messages take a constant
// time and are never lost; the table service answers at once. A run with the same
// inputs gives the same result.
package site

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// drainLimit bounds the run after the last arrival.
const drainLimit = 5 * time.Minute

// Site is one simulation.
type Site struct {
	clock
	scenario  *Scenario
	policy    *Policy
	seed      uint64
	start     time.Time
	endpoints []*endpoint
	routers   []*siteRouter
	tickets   uint64
	open      int
	// claimed holds the ids of requests that must not run twice and have started.
	claimed map[uint64]bool
	result  *Result
}

// Run simulates one workload in one scenario under one policy.
func Run(w Workload, sc Scenario, p Policy, seed uint64) *Result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &Site{clock: clock{now: start}, scenario: &sc, policy: &p, seed: seed, start: start, claimed: make(map[uint64]bool)}
	s.result = newResult(&w, &sc, &p, seed)
	for i := range sc.Endpoints {
		s.endpoints = append(s.endpoints, newEndpoint(s, i))
	}
	for i := range sc.Routers {
		s.routers = append(s.routers, newRouter(s, i))
	}
	rate := rateOf(sc.Engine)
	all := sc.demand(&w, seed, float64(sc.Endpoints)*rate.tokensPerSecond, rate)
	s.open = len(all)
	s.scheduleArrivals(all)
	s.scheduleFaults()
	s.scheduleTimers()
	drain := drainLimit
	if sc.NoDrain {
		drain = 0
	}
	s.run(start.Add(sc.Length+drain), func() bool { return s.open == 0 })
	s.result.VirtualSeconds = s.now.Sub(start).Seconds()
	s.result.close(newFullUse(&w, &sc, all).total(&w), all)
	return s.result
}

// scheduleArrivals starts each request at a router; clients spread their
// requests evenly.
func (s *Site) scheduleArrivals(all []arrival) {
	for i := range all {
		f := &flight{arrival: all[i], model: i % s.scenario.Models, arrived: s.start.Add(all[i].at)}
		f.fingerprint = fingerprintOf(f.id)
		if f.crash {
			f.fingerprint = fingerprintOf(1 << 63)
		}
		r := s.routers[i%len(s.routers)]
		s.at(f.arrived, func() { r.submit(f) })
	}
}

func fingerprintOf(id uint64) quarantine.Fingerprint {
	return sha256.Sum256(binary.BigEndian.AppendUint64(nil, id))
}

func (s *Site) scheduleFaults() {
	sc := s.scenario
	if sc.SlowTo > sc.SlowFrom {
		s.at(s.start.Add(sc.SlowFrom), func() { s.slow(slowFactor, sc.ReportLag) })
		s.at(s.start.Add(sc.SlowTo), func() { s.slow(1, 0) })
	}
	if sc.CrashAt > 0 {
		s.at(s.start.Add(sc.CrashAt), s.endpoints[0].crash)
	}
}

// slow changes the speed of the last endpoints.
func (s *Site) slow(factor float64, lag time.Duration) {
	for _, e := range s.endpoints[len(s.endpoints)-slowedCount:] {
		e.engine.SetFactor(s.now, factor)
		e.lag, e.reports = lag, nil
		e.scheduleEngine()
	}
}

func (s *Site) scheduleTimers() {
	for i, e := range s.endpoints {
		s.every(tickInterval, spread(i, len(s.endpoints), tickInterval), e.tick)
	}
	for i, r := range s.routers {
		s.every(probeInterval, spread(i, len(s.routers), probeInterval), r.probe)
		s.every(evidenceInterval, spread(i, len(s.routers), evidenceInterval), r.readEvidence)
	}
}

func spread(i, n int, interval time.Duration) time.Duration {
	return interval * time.Duration(i) / time.Duration(n)
}

func (s *Site) every(interval, offset time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(interval, again)
	}
	s.after(offset, again)
}

// delay is one way between two availability zones.
func (s *Site) delay(from, to int) time.Duration {
	if from == to {
		return 0
	}
	return latencyZone
}

// evidence is what agents have published.
func (s *Site) evidence() []quarantine.Record {
	var all []quarantine.Record
	for _, e := range s.endpoints {
		all = append(all, e.quarantine.Records(s.now)...)
	}
	slices.SortStableFunc(all, func(a, b quarantine.Record) int { return a.Last.Compare(b.Last) })
	return all
}

// ended records the final answer of a request.
func (s *Site) ended(f *flight, err *resultcode.Error) {
	s.open--
	s.result.record(f, err, f.arrived.Sub(s.start))
}
