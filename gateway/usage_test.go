package gateway

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/gateway/peers"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

const (
	usageTestWindow = 5 * time.Second
	// usageTolerance is the report_tolerance of the sites.
	usageTolerance = 0.05
	// usageWait is how long a report waits for a window that is not complete.
	usageWait = 4 * time.Second
	// usageEdge is the time around the end of a window in which no request is sent: gateways
	// may book it to either window.
	usageEdge = 30 * time.Millisecond
)

func usageSettings(s *Settings) {
	s.Duties = Duties{Address: "10.9.9.9:1", Names: []string{dutyUsageReporting}, ReportWindowS: usageTestWindow.Seconds()}
}

// usageSite is a simulated site that knows the true counts by window and account.
type usageSite struct {
	*simSite
	accounts int
	// rate is the number of requests a second at each gateway.
	rate  float64
	truth map[int64]map[string]uint64
	// jumps are the deviations of wall clocks, and bootedAt the start times of the processes.
	jumps    map[string]time.Duration
	bootedAt map[string]time.Time
}

func newUsageSite(seed uint64, gateways, accounts int, rate float64) *usageSite {
	entries := []registry.Entry{{ID: "e", Service: "s", Address: "e", Zone: "z", Slots: 1 << 20, Born: 1}}
	s := &usageSite{accounts: accounts, rate: rate, truth: make(map[int64]map[string]uint64), jumps: make(map[string]time.Duration), bootedAt: make(map[string]time.Time)}
	s.simSite = newSimSite(seed, func() []registry.Entry { return entries })
	s.settings = usageSettings
	s.serve = func(g *simGateway) {
		if time.Now().Add(usageEdge).UnixNano()%int64(usageTestWindow) < int64(2*usageEdge) {
			return
		}
		for range poisson(s.rng, s.rate*simStep.Seconds()) {
			s.request(g)
		}
	}
	for range gateways {
		s.add()
	}
	return s
}

func (s *usageSite) add() {
	var g *simGateway
	booted := func() {
		if g != nil {
			s.setClock(g)
		}
	}
	g = s.join(booted)
	s.setClock(g)
}

// setClock gives a process that has started the wall clock of its VM.
func (s *usageSite) setClock(g *simGateway) {
	s.bootedAt[g.address] = time.Now()
	g.gateway.dispatcher.usage.wall = func(now time.Time) time.Time { return now.Add(s.jumps[g.address]) }
}

// request sends a request of a random account: a plain one, a stream, or one of these that
// an endpoint rejects.
func (s *usageSite) request(g *simGateway) {
	account := fmt.Sprintf("account%d", s.rng.IntN(s.accounts))
	work := &placement.Work{Service: "s", Streaming: s.rng.IntN(2) == 0, Target: time.Second}
	a, refusal := g.gateway.dispatcher.Admit(work, relay.AdmissionRequest{Route: "r", TimeLeft: time.Minute, Account: account})
	if refusal != nil {
		return
	}
	if s.rng.IntN(10) == 0 {
		a.Ended(relay.ResultRejected)
		return
	}
	w := time.Now().UnixNano() / int64(usageTestWindow)
	if s.truth[w] == nil {
		s.truth[w] = make(map[string]uint64)
	}
	s.truth[w][account]++
	if work.Streaming {
		a.Started()
		a.Ended(relay.ResultComplete)
		return
	}
	g.whenRunning(g.gateway, func() {
		a.Started()
		a.Ended(relay.ResultComplete)
	})
}

// drain ends a gateway as SIGTERM does.
func (s *usageSite) drain(g *simGateway) {
	g.gateway.dispatcher.closeUsage()
	for n := 1; n <= maxFarewells && !g.exchange.farewell(simSocket{sender: g}, n); n++ {
	}
	g.down = true
}

// report compares the counts of a window with the truth at every gateway that runs and is not
// cut off; each may be the one that reports. One that started after the beginning of the
// window first merges the checkpoint of the first gateway, as a new holder of the lease does.
func (s *usageSite) report(t *testing.T, w int64, tolerance float64, wantComplete bool) {
	t.Helper()
	for _, g := range s.gateways {
		if !g.runs() || g.cutOff {
			continue
		}
		ledger := usageLedger{g.gateway.dispatcher}
		if s.bootedAt[g.address].UnixNano() > w*int64(usageTestWindow) {
			mergeCheckpoint(t, usageLedger{s.gateways[0].gateway.dispatcher}, ledger)
		}
		if wantComplete && !ledger.Complete(w) {
			t.Errorf("%s: window %d is not complete", g.address, w)
		}
		totals := ledger.Totals(w)
		for account, want := range s.truth[w] {
			if got := totals[account]; math.Abs(float64(got)-float64(want)) > tolerance*float64(want) {
				t.Errorf("%s: window %d: %s has %d requests, want %d", g.address, w, account, got, want)
			}
		}
	}
}

func mergeCheckpoint(t *testing.T, from, to usageLedger) {
	t.Helper()
	rows, err := from.Encode()
	for _, row := range rows {
		err = errors.Join(err, to.Merge(row))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// runWindows runs n windows, and reports each usageWait after its end.
func (s *usageSite) runWindows(t *testing.T, n int, tolerance float64, wantComplete bool) {
	t.Helper()
	first := time.Now().UnixNano() / int64(usageTestWindow)
	for w := first; w < first+int64(n); w++ {
		end := time.Unix(0, (w+1)*int64(usageTestWindow)).Add(usageWait)
		s.run(end.Sub(s.start))
		s.report(t, w, tolerance, wantComplete)
	}
}

// Guards against counts that are lost or added twice between gateways that all run, and
// against a window that stays incomplete because a gateway has drained or joined.
func TestUsageIsExactWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newUsageSite(1, 29, 24, 10)
		site.after(7*time.Second, func() { site.drain(site.gateways[5]) })
		site.after(12*time.Second, site.add)
		site.runWindows(t, 4, 0, true)
		if deviation := time.Until((usageLedger{site.gateways[0].gateway.dispatcher}).TrueTime()); deviation.Abs() > usageEdge {
			t.Errorf("true time is wrong by %s", deviation)
		}
	})
}

// Guards against reports beyond the tolerance while gateways are killed, freeze, are cut off
// or join, and the clocks of a third of them jump by 2 s and back.
func TestUsageIsWithinToleranceDuringFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newUsageSite(2, 29, 24, 40)
		for n, g := range site.gateways[1:] {
			at := 3*time.Second + time.Duration(n)*900*time.Millisecond
			switch n % 5 {
			case 0:
				site.after(at, func() { g.stop(2 * time.Second) })
			case 1:
				site.after(at, func() { g.freeze(3 * time.Second) })
			case 2:
				site.after(at, func() { g.cut(3 * time.Second) })
			}
			if n%3 == 0 {
				site.after(8*time.Second, func() { site.jumps[g.address] = 2 * time.Second })
				site.after(17*time.Second, func() { site.jumps[g.address] = -2 * time.Second })
				site.after(26*time.Second, func() { site.jumps[g.address] = 0 })
			}
		}
		site.after(13*time.Second, site.add)
		site.runWindows(t, 6, usageTolerance, false)
	})
}

// Guards against statements of the largest site that are not sent because they are too
// large, and against counts of 840 accounts that do not arrive.
func TestUsageOfTheLargestSiteFitsIntoStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newUsageSite(3, 410, 840, 0)
		site.run(4 * time.Second)
		w := time.Now().UnixNano() / int64(usageTestWindow)
		sender, receiver := site.gateways[0].gateway.dispatcher, usageLedger{site.gateways[1].gateway.dispatcher}
		for n, g := range site.gateways {
			g.gateway.dispatcher.usage.ledger.Count(w, fmt.Sprintf("a-client-account-%d", n))
		}
		for n := range 840 {
			sender.usage.ledger.Count(w, fmt.Sprintf("a-client-account-%d", n))
		}
		site.run(usageTestWindow + usageWait)
		sum := uint64(0)
		for _, n := range receiver.Totals(w) {
			sum += n
		}
		if sum != 410+840 || !receiver.Complete(w) {
			t.Errorf("%d requests of 1250 arrived; complete is %t", sum, receiver.Complete(w))
		}
		for n := range 840 {
			sender.usage.ledger.Count(w+1, fmt.Sprintf("a-client-account-%d", n))
		}
		statement := sender.statement(time.Now(), time.Now())
		sender.addUsage(time.Now(), statement)
		if n := proto.Size(statement); n > peers.MaxDatagram || len(statement.Usage) != maxUsage {
			t.Errorf("statement of %d bytes with %d counts", n, len(statement.Usage))
		}
	})
}

// Guards against requests that are counted although they did not run or have no account, and
// against requests that ran and are not counted.
func TestOnlyBegunRequestsCount(t *testing.T) {
	for _, test := range []struct {
		name               string
		streaming, started bool
		account            string
		result             relay.AttemptResult
		want               uint64
	}{
		{"answered", false, true, "x", relay.ResultComplete, 1},
		{"failed after the head", false, true, "x", relay.ResultBroken, 1},
		{"sent, no response", false, false, "x", relay.ResultBroken, 1},
		{"sent, caller left", false, false, "x", relay.ResultInconclusive, 1},
		{"caller left before it was sent", false, false, "x", relay.ResultUnsent, 0},
		{"rejected", false, false, "x", relay.ResultRejected, 0},
		{"unreachable", false, false, "x", relay.ResultUnreachable, 0},
		{"another endpoint", false, false, "x", relay.ResultReplaced, 0},
		{"stream with an event", true, true, "x", relay.ResultBroken, 1},
		{"stream without an event", true, false, "x", relay.ResultBroken, 0},
		{"anonymous", false, true, "", relay.ResultComplete, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			site := newUsageSite(4, 1, 1, 0)
			d := site.gateways[0].gateway.dispatcher
			w := time.Now().UnixNano() / int64(usageTestWindow)
			a, _ := d.Admit(&placement.Work{Service: "s", Streaming: test.streaming, Target: time.Second}, relay.AdmissionRequest{TimeLeft: time.Minute, Account: test.account})
			if test.started {
				a.Started()
				a.Started()
			}
			a.Ended(test.result)
			if totals := (usageLedger{d}).Totals(w); totals["x"] != test.want || len(totals) != int(test.want) {
				t.Errorf("%s: %v is counted, want %d", test.name, totals, test.want)
			}
		})
	}
}

// Guards against a window that is final while a plain request sent in it may still count, and
// against one that a request without a response keeps open.
func TestOpenRequestsDelayTheFinalWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newUsageSite(5, 1, 1, 0)
		d := site.gateways[0].gateway.dispatcher
		w := time.Now().UnixNano() / int64(usageTestWindow)
		a, _ := d.Admit(&placement.Work{Service: "s", Target: time.Second}, relay.AdmissionRequest{TimeLeft: time.Minute, Account: "x"})
		time.Sleep(usageTestWindow + usageFinalSlack)
		ledger := usageLedger{d}
		if ledger.Complete(w) || len(ledger.Totals(w)) != 0 {
			t.Error("the window is complete while the request is open")
		}
		time.Sleep(simStep)
		if !ledger.Complete(w) || ledger.Totals(w)["x"] != 1 {
			t.Errorf("after the slack: complete %t, counts %v", ledger.Complete(w), ledger.Totals(w))
		}
		a.Ended(relay.ResultComplete)
		if n := ledger.Totals(w)["x"]; n != 1 {
			t.Errorf("%d requests are counted, want 1", n)
		}
	})
}

// Guards against counts and further fields in statements where no usage is to be reported.
func TestNoUsageWithoutTheDuty(t *testing.T) {
	settings := Settings{AvailabilityZone: "z"}
	usageSettings(&settings)
	settings.Duties.Names = nil
	g := New(Options{Settings: settings, Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 2))})
	statement := g.dispatcher.statement(time.Now(), time.Now())
	g.dispatcher.addUsage(time.Now(), statement)
	g.dispatcher.applyUsage(time.Now(), statement)
	if g.dispatcher.usage != nil || statement.UnixMs != 0 || statement.Usage != nil || statement.UsageFinalWindow != 0 || g.dispatcher.closeUsage() {
		t.Errorf("statement %v", statement)
	}
}
