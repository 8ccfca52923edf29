// Package site simulates the routers and agents of a site together in virtual time
// in front of modelled engines, and measures how the requests of each class ended.
// It extends package measure from one endpoint to a site. Messages take a constant
// time and are never lost; the table service answers at once. Runs with the same
// inputs give the same result.
package site

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// drainLimit is the maximum simulated time after the last arrival.
const drainLimit = 5 * time.Minute

// simulation is the state of one run.
type simulation struct {
	clock
	scenario   *Scenario
	policy     *Policy
	seed       uint64
	start      time.Time
	endpoints  []*endpoint
	routers    []*siteRouter
	lastTicket uint64
	unfinished int
	// startedNonIdempotent holds the ids of the requests that must not run twice
	// and have started.
	startedNonIdempotent map[uint64]bool
	result               *Result
}

// Run simulates one workload in one scenario under one policy.
func Run(w Workload, sc Scenario, p Policy, seed uint64) *Result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{clock: clock{now: start}, scenario: &sc, policy: &p, seed: seed, start: start, startedNonIdempotent: make(map[uint64]bool)}
	s.result = newResult(&w, &sc, &p, seed)
	for i := range sc.Endpoints {
		s.endpoints = append(s.endpoints, newEndpoint(s, i))
	}
	for i := range sc.Routers {
		s.routers = append(s.routers, newRouter(s, i))
	}
	rate := engineRateOf(sc.Engine)
	all := sc.drawArrivals(&w, seed, float64(sc.Endpoints)*rate.tokensPerSecond, rate)
	s.unfinished = len(all)
	s.scheduleArrivals(all)
	s.scheduleFaults()
	s.scheduleTimers()
	drain := drainLimit
	if sc.NoDrain {
		drain = 0
	}
	s.run(start.Add(sc.Length+drain), func() bool { return s.unfinished == 0 })
	s.result.VirtualSeconds = s.now.Sub(start).Seconds()
	s.result.computeMeasures(newFullUse(&w, &sc, all).totalTokens(&w), all)
	return s.result
}

// scheduleArrivals submits each request at a router; clients spread their requests
// evenly over the routers.
func (s *simulation) scheduleArrivals(all []arrival) {
	for i := range all {
		req := &request{arrival: all[i], model: i % s.scenario.Models, arrived: s.start.Add(all[i].at)}
		req.fingerprint = fingerprintOf(req.id)
		if req.crash {
			req.fingerprint = fingerprintOf(1 << 63)
		}
		r := s.routers[i%len(s.routers)]
		s.scheduleAt(req.arrived, func() { r.submit(req) })
	}
}

func fingerprintOf(id uint64) quarantine.Fingerprint {
	return sha256.Sum256(binary.BigEndian.AppendUint64(nil, id))
}

func (s *simulation) scheduleFaults() {
	sc := s.scenario
	if sc.SlowTo > sc.SlowFrom {
		s.scheduleAt(s.start.Add(sc.SlowFrom), func() { s.setSlowedEndpoints(slowFactor, sc.ReportLag) })
		s.scheduleAt(s.start.Add(sc.SlowTo), func() { s.setSlowedEndpoints(1, 0) })
	}
	if sc.CrashAt > 0 {
		s.scheduleAt(s.start.Add(sc.CrashAt), s.endpoints[0].crash)
	}
}

// setSlowedEndpoints sets the step time factor and report lag of the last
// slowedCount endpoints.
func (s *simulation) setSlowedEndpoints(factor float64, lag time.Duration) {
	for _, e := range s.endpoints[len(s.endpoints)-slowedCount:] {
		e.engine.SetSlowFactor(s.now, factor)
		e.reportLag, e.laggingReports = lag, nil
		e.scheduleEngine()
	}
}

func (s *simulation) scheduleTimers() {
	for i, e := range s.endpoints {
		s.scheduleEvery(tickInterval, staggeredOffset(i, len(s.endpoints), tickInterval), e.tick)
	}
	for i, r := range s.routers {
		s.scheduleEvery(probeInterval, staggeredOffset(i, len(s.routers), probeInterval), r.probe)
		s.scheduleEvery(evidenceInterval, staggeredOffset(i, len(s.routers), evidenceInterval), r.readEvidence)
	}
}

func staggeredOffset(i, n int, interval time.Duration) time.Duration {
	return interval * time.Duration(i) / time.Duration(n)
}

func (s *simulation) scheduleEvery(interval, offset time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		s.scheduleAfter(interval, again)
	}
	s.scheduleAfter(offset, again)
}

// networkDelay returns the one-way delay between two availability zones.
func (s *simulation) networkDelay(from, to int) time.Duration {
	if from == to {
		return 0
	}
	return zoneLatency
}

// publishedEvidence returns the evidence of crashes that all agents published, in
// order of time.
func (s *simulation) publishedEvidence() []quarantine.Record {
	var all []quarantine.Record
	for _, e := range s.endpoints {
		all = append(all, e.quarantine.Records(s.now)...)
	}
	slices.SortStableFunc(all, func(a, b quarantine.Record) int { return a.Last.Compare(b.Last) })
	return all
}

// recordEnd records the final answer of a request.
func (s *simulation) recordEnd(req *request, err *resultcode.Error) {
	s.unfinished--
	s.result.record(req, err, req.arrived.Sub(s.start))
}
