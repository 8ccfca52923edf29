// Package invariants tests the decision packages together: routers, agents, a
// table with faults, operators and callers in one process on virtual time.
package invariants

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/lease"
)

// TestMain fixes the seed, so that every run has the same verdict. The flags of
// rapid override the defaults here.
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

// heal ends all faults, waits for pauses and outages to pass, and has one more
// change accepted, which must be in effect everywhere within 11 s.
func (w *world) heal() {
	w.healed = true
	w.advance(31 * time.Second)
	w.site.last(w)
	w.advance(11 * time.Second)
}

// TestPromises guards against every violation that the oracles of this package
// name, in any order and combination of faults.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.advance(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":         func(t *rapid.T) { w.check() },
			"arm":      func(t *rapid.T) { w.arm() },
			"outage":   func(t *rapid.T) { w.outage() },
			"pass":     func(t *rapid.T) { w.pass() },
			"wait":     func(t *rapid.T) { w.pass() },
			"lapse":    func(t *rapid.T) { w.advance(lease.TTL + lease.ClockDriftMargin) },
			"pause":    func(t *rapid.T) { w.pause() },
			"restart":  func(t *rapid.T) { w.restart() },
			"charge":   func(t *rapid.T) { w.charge() },
			"recharge": func(t *rapid.T) { w.charge() },
			"operator": func(t *rapid.T) { w.operate() },
			"order":    func(t *rapid.T) { w.order() },
		})
		w.heal()
		w.check()
		w.checkEnd()
	})
	for _, situation := range situations {
		if !t.Failed() && reached[situation] == 0 {
			t.Errorf("no sequence reached: %s", situation)
		}
	}
}

// reached counts situations. A run that misses one of them proves too little.
var reached = map[string]int{}

var situations = []string{
	"key runs", "key taken over", "answer replayed", "told not_run", "told unknown", "told ran", "agent restarted with a run",
	"order executed", "order with an old number refused", "order repeated", "lease taken over",
	"change accepted", "change refused with a difference", "change recognised", "change outcome unknown", "version from a peer",
}

func (w *world) check() {
	w.site.check(w)
	w.orders.check(w)
}

func (w *world) checkEnd() {
	w.claims.checkEnd(w)
	w.site.checkEnd(w)
}
