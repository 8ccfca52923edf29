package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"

	"github.com/pistachiowind/pistachiowind/standin"
)

// Guards against a lost router that harms the callers of another one, that
// passes a broken stream off as whole, or whose charge runs again when the caller
// sends its key to another router.
func TestRouterKilled(t *testing.T) {
	s := startSite(t)
	lost, other := s.routers[0], s.routers[1]
	for _, p := range s.ledgers {
		s.faults(p, standin.ServiceFaults{DelayMS: 3000})
	}
	claims := s.claims()
	broken := s.streams(6, 400, lost)
	unaffected := s.streams(6, 400, other)
	key := newKey()
	first := goCharge(lost, key, "{}")
	await(t, "the charge is claimed", func() error { return s.claimedSince(claims, 1) })
	s.awaitTokens(2, unaffected)
	lost.kill()
	answers := told{key: {<-first, charge(other, key, "{}")}}
	if again := answers[key][1]; !again.ran() || !again.replayed {
		t.Errorf("charge sent to the other router: %v", again)
	}
	unaffected.whole()
	if c := broken.end(); c.Whole > 0 || c.Wrong > 0 {
		t.Errorf("streams of the killed router: %d whole, %d wrong", c.Whole, c.Wrong)
	}
	s.check(answers)
}

func (s *site) claimedSince(before, n int) error {
	if rows := s.claims() - before; rows < n {
		return fmt.Errorf("%d of %d claims", rows, n)
	}
	return nil
}

// Guards against a token that is lost, doubled or out of order when the agent of
// an engine dies while its streams run.
func TestModelAgentKilled(t *testing.T) {
	s := startSite(t)
	streams := s.streams(16, 300, s.routers...)
	s.awaitTokens(2, streams)
	before := s.stats(0)
	s.agents["engine-agent-1"].kill()
	streams.whole()
	await(t, "the engine notices that its agent is gone", func() error {
		if after := s.stats(0); after.Cancelled == before.Cancelled {
			return fmt.Errorf("no stream was interrupted: %+v", after)
		}
		return nil
	})
}

// Guards against a token that is lost, doubled or out of order when an engine
// crashes while its streams run, also when they are more streams of one client
// account at one router than its retry budget pays for.
func TestEngineCrashed(t *testing.T) {
	s := startSite(t)
	streams := s.streams(28, 300, s.routers[0])
	s.awaitTokens(12, streams)
	s.faults(s.engines[0], standin.EngineFaults{Down: standin.DownClose})
	streams.whole()
	if stats := s.stats(0); stats.Cut == 0 {
		t.Errorf("no stream was interrupted: %+v", stats)
	}
}

const (
	chargeCallers = 8
	chargeTries   = 6
	agentKills    = 6
)

// Guards against a charge that runs twice or is reported wrongly when the ledger
// agents die at any point of it and its caller sends the key again anywhere.
func TestLedgerAgentKilled(t *testing.T) {
	s := startSite(t)
	for _, p := range s.ledgers {
		s.faults(p, standin.ServiceFaults{DelayMS: 40})
	}
	answers := make(told)
	var mu sync.Mutex
	var callers sync.WaitGroup
	sending, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		callers.Wait()
	})
	for i := range chargeCallers {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		callers.Go(func() {
			for n := 0; sending.Err() == nil; n++ {
				key := newKey()
				// Every third caller gives up when it is told that nothing ran.
				list := s.persist(random, key, n%3 == 0)
				mu.Lock()
				answers[key] = list
				mu.Unlock()
			}
		})
	}
	s.killLedgerAgents(rand.New(rand.NewPCG(2, 2)))
	stop()
	callers.Wait()
	s.agents["ledger-agent-1"].kill()
	s.agents["ledger-agent-2"].kill()
	for i := range 4 {
		key := newKey()
		a := charge(s.routers[i%2], key, "{}")
		if !a.notRun() {
			t.Errorf("charge without any agent: %v", a)
		}
		answers[key] = []answer{a}
	}
	s.check(answers)
}

// persist sends a charge to routers at random until it succeeds.
func (s *site) persist(random *rand.Rand, key string, givesUp bool) []answer {
	var list []answer
	for range chargeTries {
		a := charge(s.routers[random.IntN(len(s.routers))], key, "{}")
		list = append(list, a)
		if a.ran() || givesUp && a.notRun() {
			break
		}
	}
	return list
}

// killLedgerAgents kills one ledger agent after the other, each when a random
// number of further charges has run, and starts it again.
func (s *site) killLedgerAgents(random *rand.Rand) {
	s.t.Helper()
	for i := range agentKills {
		name := fmt.Sprintf("ledger-agent-%d", 1+i%2)
		target := len(s.runs()) + 1 + random.IntN(chargeCallers)
		await(s.t, "charges run", func() error {
			if n := len(s.runs()); n < target {
				return fmt.Errorf("%d of %d charges ran", n, target)
			}
			return nil
		})
		s.agents[name].kill()
		s.startAgent(name)
	}
}

// Guards against an agent that breaks streams in progress when it is asked to
// stop, and against a leaving agent that starts new work after 3 s.
func TestModelAgentStops(t *testing.T) {
	s := startSite(t)
	leaving := s.agents["engine-agent-1"]
	open := s.streams(10, 1200, s.routers...)
	s.awaitTokens(2, open)
	leaving.signal(syscall.SIGTERM)
	later := s.shortStreams(s.routers...)
	s.pass(leavingLimit)
	select {
	case <-leaving.ended:
		t.Fatal("the agent ended before its streams, so that nothing is shown")
	default:
	}
	started := s.stats(0).Started
	if code := leaving.exitCode(); code != 0 {
		t.Errorf("the agent ended with exit code %d", code)
	}
	open.whole()
	later.whole()
	if n := s.stats(0).Started - started; n > 0 {
		t.Errorf("the leaving agent started %d streams after %s", n, leavingLimit)
	}
}

// Guards against a router that breaks streams or charges in progress when it is
// asked to stop.
func TestRouterStops(t *testing.T) {
	s := startSite(t)
	leaving, other := s.routers[0], s.routers[1]
	for _, p := range s.ledgers {
		s.faults(p, standin.ServiceFaults{DelayMS: 2000})
	}
	claims := s.claims()
	open := s.streams(10, 500, leaving)
	elsewhere := s.shortStreams(other)
	key := newKey()
	first := goCharge(leaving, key, "{}")
	await(t, "the charge is claimed", func() error { return s.claimedSince(claims, 1) })
	s.awaitTokens(2, open)
	leaving.signal(syscall.SIGTERM)
	await(t, "the router is not ready", func() error {
		if get(leaving.url("admin")+"/readyz", nil) == nil {
			return fmt.Errorf("%s is ready", leaving.name)
		}
		return nil
	})
	if code := leaving.exitCode(); code != 0 {
		t.Errorf("the router ended with exit code %d", code)
	}
	open.whole()
	elsewhere.whole()
	answers := told{key: {<-first}}
	if !answers[key][0].ran() {
		t.Errorf("the charge in progress: %v", answers[key][0])
	}
	s.check(answers)
}

// Guards against a ledger agent that stops before a charge in progress has its
// answer and its record.
func TestLedgerAgentStops(t *testing.T) {
	s := startSite(t)
	for _, p := range s.ledgers {
		s.faults(p, standin.ServiceFaults{DelayMS: 2000})
	}
	claims := s.claims()
	key := newKey()
	first := goCharge(s.routers[0], key, "{}")
	await(t, "the charge is claimed", func() error { return s.claimedSince(claims, 1) })
	names := []string{"ledger-agent-1", "ledger-agent-2"}
	for _, name := range names {
		s.agents[name].signal(syscall.SIGTERM)
	}
	for _, name := range names {
		if code := s.agents[name].exitCode(); code != 0 {
			t.Errorf("%s ended with exit code %d", name, code)
		}
	}
	for _, name := range names {
		s.startAgent(name)
	}
	answers := told{key: {<-first}}
	if !answers[key][0].ran() {
		t.Errorf("the charge in progress: %v", answers[key][0])
	}
	await(t, "the answer is repeated", func() error {
		a := charge(s.routers[1], key, "{}")
		answers[key] = append(answers[key], a)
		if !a.replayed || a.body != answers[key][0].body {
			return fmt.Errorf("%v", a)
		}
		return nil
	})
	s.check(answers)
}
