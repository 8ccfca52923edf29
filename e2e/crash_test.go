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

// Guards against a killed router that affects callers of another router, whose broken
// streams look complete, or whose charge runs again when the caller sends its key to
// another router.
func TestRouterKilled(t *testing.T) {
	s := startSite(t)
	lost, other := s.routers[0], s.routers[1]
	for _, p := range s.ledgers {
		s.setFaults(p, standin.ServiceFaults{DelayMS: 3000})
	}
	claims := s.countClaims()
	broken := s.startStreams(6, 400, lost)
	unaffected := s.startStreams(6, 400, other)
	key := newKey()
	first := startCharge(lost, key, "{}")
	await(t, "the charge is claimed", func() error { return s.checkNewClaims(claims, 1) })
	s.awaitTokens(2, unaffected)
	lost.kill()
	answers := chargeAnswers{key: {<-first, charge(other, key, "{}")}}
	if again := answers[key][1]; !again.ran() || !again.replayed {
		t.Errorf("charge sent to the other router: %v", again)
	}
	unaffected.requireComplete()
	if c := broken.wait(); c.Whole > 0 || c.Wrong > 0 {
		t.Errorf("streams of the killed router: %d whole, %d wrong", c.Whole, c.Wrong)
	}
	s.checkCharges(answers)
}

// checkNewClaims returns an error until the number of claims exceeds before by n.
func (s *site) checkNewClaims(before, n int) error {
	if rows := s.countClaims() - before; rows < n {
		return fmt.Errorf("%d of %d claims", rows, n)
	}
	return nil
}

// Guards against tokens that are lost, repeated or out of order when the agent of an
// engine is killed while its streams run.
func TestModelAgentKilled(t *testing.T) {
	s := startSite(t)
	streams := s.startStreams(16, 300, s.routers...)
	s.awaitTokens(2, streams)
	before := s.engineStats(0)
	s.agents["engine-agent-1"].kill()
	streams.requireComplete()
	await(t, "the engine notices that its agent has been killed", func() error {
		if after := s.engineStats(0); after.Cancelled == before.Cancelled {
			return fmt.Errorf("no stream was interrupted: %+v", after)
		}
		return nil
	})
}

// Guards against tokens that are lost, repeated or out of order when an engine crashes
// while its streams run, also when one client account has more such streams at one
// router than its retry budget covers.
func TestEngineCrashed(t *testing.T) {
	s := startSite(t)
	streams := s.startStreams(28, 300, s.routers[0])
	s.awaitTokens(12, streams)
	s.setFaults(s.engines[0], standin.EngineFaults{Down: standin.DownClose})
	streams.requireComplete()
	if stats := s.engineStats(0); stats.Cut == 0 {
		t.Errorf("no stream was interrupted: %+v", stats)
	}
}

const (
	chargeCallers     = 8
	maxChargeAttempts = 6
	agentKills        = 6
)

// Guards against a charge that runs twice or is reported wrongly when a ledger agent
// is killed at any point of its execution and the caller sends the key again to any
// router.
func TestLedgerAgentKilled(t *testing.T) {
	s := startSite(t)
	for _, p := range s.ledgers {
		s.setFaults(p, standin.ServiceFaults{DelayMS: 40})
	}
	answers := make(chargeAnswers)
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
				// Every third charge is not sent again after an answer of not_run.
				list := s.chargeUntilRun(random, key, n%3 == 0)
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
	s.checkCharges(answers)
}

// chargeUntilRun sends a charge to randomly chosen routers until it has run, at most
// maxChargeAttempts times. With givesUp it also stops at an answer of not_run.
func (s *site) chargeUntilRun(random *rand.Rand, key string, givesUp bool) []answer {
	var list []answer
	for range maxChargeAttempts {
		a := charge(s.routers[random.IntN(len(s.routers))], key, "{}")
		list = append(list, a)
		if a.ran() || givesUp && a.notRun() {
			break
		}
	}
	return list
}

// killLedgerAgents alternately kills and restarts the ledger agents, each time after a
// random number of further charges has run.
func (s *site) killLedgerAgents(random *rand.Rand) {
	s.t.Helper()
	for i := range agentKills {
		name := fmt.Sprintf("ledger-agent-%d", 1+i%2)
		target := len(s.runsByKey()) + 1 + random.IntN(chargeCallers)
		await(s.t, "charges run", func() error {
			if n := len(s.runsByKey()); n < target {
				return fmt.Errorf("%d of %d charges ran", n, target)
			}
			return nil
		})
		s.agents[name].kill()
		s.startAgent(name)
	}
}

// Guards against an agent that breaks streams in progress on SIGTERM, and against a
// leaving agent that starts new work after leavingNoticeLimit (3 s).
func TestModelAgentStops(t *testing.T) {
	s := startSite(t)
	leaving := s.agents["engine-agent-1"]
	open := s.startStreams(10, 1200, s.routers...)
	s.awaitTokens(2, open)
	leaving.signal(syscall.SIGTERM)
	later := s.startShortStreams(s.routers...)
	s.sleep(leavingNoticeLimit)
	select {
	case <-leaving.exited:
		t.Fatal("the agent ended before its streams; the test shows nothing")
	default:
	}
	started := s.engineStats(0).Started
	if code := leaving.waitExitCode(); code != 0 {
		t.Errorf("the agent ended with exit code %d", code)
	}
	open.requireComplete()
	later.requireComplete()
	if n := s.engineStats(0).Started - started; n > 0 {
		t.Errorf("the leaving agent started %d streams after %s", n, leavingNoticeLimit)
	}
}

// Guards against a router that breaks streams or charges in progress on SIGTERM.
func TestRouterStops(t *testing.T) {
	s := startSite(t)
	leaving, other := s.routers[0], s.routers[1]
	for _, p := range s.ledgers {
		s.setFaults(p, standin.ServiceFaults{DelayMS: 2000})
	}
	claims := s.countClaims()
	open := s.startStreams(10, 500, leaving)
	elsewhere := s.startShortStreams(other)
	key := newKey()
	first := startCharge(leaving, key, "{}")
	await(t, "the charge is claimed", func() error { return s.checkNewClaims(claims, 1) })
	s.awaitTokens(2, open)
	leaving.signal(syscall.SIGTERM)
	await(t, "the router is not ready", func() error {
		if getJSON(leaving.url("admin")+"/readyz", nil) == nil {
			return fmt.Errorf("%s is ready", leaving.name)
		}
		return nil
	})
	if code := leaving.waitExitCode(); code != 0 {
		t.Errorf("the router ended with exit code %d", code)
	}
	open.requireComplete()
	elsewhere.requireComplete()
	answers := chargeAnswers{key: {<-first}}
	if !answers[key][0].ran() {
		t.Errorf("the charge in progress: %v", answers[key][0])
	}
	s.checkCharges(answers)
}

// Guards against a ledger agent that stops on SIGTERM before a charge in progress has
// been answered and recorded.
func TestLedgerAgentStops(t *testing.T) {
	s := startSite(t)
	for _, p := range s.ledgers {
		s.setFaults(p, standin.ServiceFaults{DelayMS: 2000})
	}
	claims := s.countClaims()
	key := newKey()
	first := startCharge(s.routers[0], key, "{}")
	await(t, "the charge is claimed", func() error { return s.checkNewClaims(claims, 1) })
	names := []string{"ledger-agent-1", "ledger-agent-2"}
	for _, name := range names {
		s.agents[name].signal(syscall.SIGTERM)
	}
	for _, name := range names {
		if code := s.agents[name].waitExitCode(); code != 0 {
			t.Errorf("%s ended with exit code %d", name, code)
		}
	}
	for _, name := range names {
		s.startAgent(name)
	}
	answers := chargeAnswers{key: {<-first}}
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
	s.checkCharges(answers)
}
