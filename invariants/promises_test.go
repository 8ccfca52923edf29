// Package invariants tests the decision code of the complete system: a simulation of
// routers, agents, operators, callers and a table service with faults runs in virtual
// time, and oracles check the invariants.
package invariants

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/lease"
)

// TestMain sets defaults for the flags of rapid, among them a fixed seed, so that every
// run has the same result. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// endFaults ends all faults, waits until all pauses and outages are over, and puts one
// more catalog change, which must be in force in every process within 11 s.
func (sim *simulation) endFaults() {
	sim.faultsEnded = true
	sim.advance(31 * time.Second)
	sim.changes.putAfterFaults(sim)
	sim.advance(11 * time.Second)
}

// TestPromises guards against every violation that the oracles of this package check
// for, under any sequence and combination of faults.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.advance(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":         func(t *rapid.T) { sim.check() },
			"arm":      func(t *rapid.T) { sim.armFaults() },
			"outage":   func(t *rapid.T) { sim.outage() },
			"pass":     func(t *rapid.T) { sim.advanceRandomly() },
			"wait":     func(t *rapid.T) { sim.advanceRandomly() },
			"lapse":    func(t *rapid.T) { sim.advance(lease.TTL + lease.ClockDriftMargin) },
			"pause":    func(t *rapid.T) { sim.pause() },
			"restart":  func(t *rapid.T) { sim.restart() },
			"charge":   func(t *rapid.T) { sim.sendCharge() },
			"recharge": func(t *rapid.T) { sim.sendCharge() },
			"operator": func(t *rapid.T) { sim.operate() },
			"order":    func(t *rapid.T) { sim.sendOrders() },
		})
		sim.endFaults()
		sim.check()
		sim.checkEnd()
	})
	for _, situation := range situations {
		if !t.Failed() && situationCounts[situation] == 0 {
			t.Errorf("no sequence reached the situation %q", situation)
		}
	}
}

// situationCounts counts how often each situation occurred. A run in which one never
// occurred does not test the invariants sufficiently.
var situationCounts = map[string]int{}

var situations = []string{
	"key runs", "key taken over", "answer replayed", "reported not_run", "reported unknown", "reported ran", "agent restarted with a run",
	"order executed", "order with an old number refused", "order repeated", "lease taken over",
	"change accepted", "change refused with a difference", "change recognised", "change outcome unknown", "version from a peer",
}

func (sim *simulation) check() {
	sim.changes.check(sim)
	sim.orders.check(sim)
}

func (sim *simulation) checkEnd() {
	sim.claims.checkEnd(sim)
	sim.changes.checkEnd(sim)
}
