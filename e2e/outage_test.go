package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/standin"
)

// startForwarder starts a TCP forwarder to an agent. It returns the forwarder's
// listener, which can silence the connections.
func startForwarder(t *testing.T, agent *process) *standin.FaultListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := standin.NewFaultListener(inner)
	var accepting sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		accepting.Wait()
	})
	accepting.Go(func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", agent.addresses["peers"])
			if err != nil {
				_ = from.Close()
				continue
			}
			go copyAndClose(to, from)
			go copyAndClose(from, to)
		}
	})
	return l
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// Guards against a stream that breaks, stalls or is generated again when the
// connection to the agent silently stops carrying data, without an error.
func TestSilentConnections(t *testing.T) {
	s := newSite(t)
	var links []*standin.FaultListener
	for _, name := range []string{"engine-agent-1", "engine-agent-2"} {
		forwarder := startForwarder(t, s.agents[name])
		s.advertisedAddress[name] = forwarder.Addr().String()
		links = append(links, forwarder)
	}
	s.writeVMList()
	s.startRouter("router-1")
	// Fill the router's pool, so that idle connections are silenced as well.
	s.startStreams(40, 10, s.routers...).requireComplete()
	before := s.totalEngineStats()
	// Another tier: a router without observed first-token times of the tier sends no
	// second (hedged) attempts.
	streams := s.startProfileStreams("chat", 12, 300, s.routers...)
	s.awaitTokens(2, streams)
	for _, l := range links {
		l.Silence()
	}
	streams.requireComplete()
	after, sent := s.totalEngineStats(), streams.wait().Sent
	if after.Started-before.Started != sent || after.Tokens-before.Tokens != sent*300 || after.Cancelled > before.Cancelled {
		t.Errorf("%d streams of 300 tokens were generated as %+v, before %+v", sent, after, before)
	}
}

// totalEngineStats adds up the counters of all engines.
func (s *site) totalEngineStats() standin.EngineStats {
	s.t.Helper()
	var sum standin.EngineStats
	for i := range s.engines {
		stats := s.engineStats(i)
		sum.Started += stats.Started
		sum.Tokens += stats.Tokens
		sum.Cancelled += stats.Cancelled
	}
	return sum
}

// Guards against charges that run without a record, chats that fail, and a router that
// cannot start while the table service is down or hangs.
func TestTableDown(t *testing.T) {
	s := startSite(t)
	answers := make(chargeAnswers)
	for _, outage := range []standin.TableFaults{{Down: true}, {Hang: true}} {
		s.setFaults(s.table, outage)
		chats := s.startShortStreams(s.routers...)
		for range 2 {
			key := newKey()
			a := charge(s.routers[0], key, "{}")
			if !a.notRun() || a.code != resultcode.StoreUnavailable {
				t.Errorf("charge without the table %+v: %v", outage, a)
			}
			answers[key] = []answer{a}
		}
		chats.requireComplete()
	}
	lateRouter := s.startDaemon("router", "router-1", func(document) {}, nil)
	await(t, "a router serves after it learned the catalog from a peer", func() error { return shortChat(lateRouter) })
	if v, err := catalogVersion(lateRouter); err != nil || v != 1 {
		t.Errorf("catalog version %d in the late router, %v", v, err)
	}
	s.setFaults(s.table, standin.TableFaults{})
	for key := range answers {
		await(t, "charges run again", func() error {
			a := charge(lateRouter, key, "{}")
			answers[key] = append(answers[key], a)
			if !a.ran() {
				return fmt.Errorf("%v", a)
			}
			return nil
		})
	}
	s.checkCharges(answers)
}

// Guards against a router that reports ready without a catalog, or does not state why
// it is not ready.
func TestNoCatalogAnywhere(t *testing.T) {
	s := newSite(t)
	s.setFaults(s.table, standin.TableFaults{Down: true})
	router := s.startDaemon("router", "router-1", func(document) {}, nil)
	err := getJSON(router.url("admin")+"/readyz", nil)
	if err == nil || !strings.Contains(err.Error(), "no catalog") {
		t.Fatalf("readiness of a router without a catalog: %v", err)
	}
	a := call(router, "/v1/chat/completions", "chat", "", "{}")
	if a.status != http.StatusServiceUnavailable || a.code != resultcode.NotReady || !a.notRun() {
		t.Errorf("chat at a router without a catalog: %v", a)
	}
}

// Guards against a charge that runs twice, or is reported as not run although it ran,
// when writes to the table take effect but their responses are lost, or when the table
// goes down between the claim and the record of the outcome.
func TestTableAnswersLost(t *testing.T) {
	s := startSite(t)
	answers := make(chargeAnswers)
	for lost := 1; lost <= 4; lost++ {
		s.setFaults(s.table, standin.TableFaults{LoseWriteAnswers: lost})
		for range 3 {
			key := newKey()
			a := charge(s.routers[lost%2], key, "{}")
			answers[key] = []answer{a}
			if !a.ran() && !a.notRun() {
				t.Errorf("charge with %d lost answers: %v", lost, a)
			}
		}
	}
	s.setFaults(s.table, standin.TableFaults{})
	for _, p := range s.ledgers {
		s.setFaults(p, standin.ServiceFaults{DelayMS: 2000})
	}
	claims := s.countClaims()
	key := newKey()
	first := startCharge(s.routers[0], key, "{}")
	await(t, "the charge is claimed", func() error { return s.checkNewClaims(claims, 1) })
	s.setFaults(s.table, standin.TableFaults{Down: true})
	answers[key] = []answer{<-first, charge(s.routers[1], key, "{}")}
	if a := answers[key][0]; !a.ran() {
		t.Errorf("charge whose record cannot be written: %v", a)
	}
	s.setFaults(s.table, standin.TableFaults{})
	for key := range answers {
		again := charge(s.routers[0], key, "{}")
		answers[key] = append(answers[key], again)
		if !again.ran() {
			t.Errorf("charge sent again with the table up: %v", again)
		}
	}
	s.checkCharges(answers)
}
