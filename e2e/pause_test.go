package e2e_test

import (
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/standin"
)

const (
	// leavingNoticeLimit is the time after SIGTERM from which on a leaving agent must
	// receive no new work.
	leavingNoticeLimit = 3 * time.Second
	// pauseDuration exceeds the time for which a process uses a catalog without
	// confirmation that it is the newest.
	pauseDuration = 10 * time.Second
	// inForceLimit is the maximum time until a catalog change is in force in every
	// process.
	inForceLimit = 11 * time.Second
)

// sleep waits for a time that is part of a test scenario.
func (s *site) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// Guards against a charge that runs twice, a broken stream, or an old catalog that
// stays in force when agents are stopped for 10 s and then continued.
func TestAgentsPaused(t *testing.T) {
	s := startSite(t)
	for _, p := range s.ledgers {
		s.setFaults(p, standin.ServiceFaults{DelayMS: 2000})
	}
	claims := s.countClaims()
	streams := s.startStreams(10, 300, s.routers...)
	open := make(map[string][]<-chan answer)
	for i := range 6 {
		key := newKey()
		open[key] = append(open[key], startCharge(s.routers[i%2], key, "{}"))
	}
	await(t, "the charges are claimed", func() error { return s.checkNewClaims(claims, 6) })
	s.awaitTokens(2, streams)
	paused := []*process{s.agents["ledger-agent-1"], s.agents["engine-agent-1"]}
	for _, p := range paused {
		p.signal(syscall.SIGSTOP)
	}
	changed := s.profile("charge")
	changed.Target.WholeMS = 900
	if code, out := s.putProfile(s.routers[0], changed, 1); code != 0 {
		t.Fatalf("profile put: %s", out)
	}
	// Callers send their keys again while the agent that holds the claim is stopped.
	for key := range open {
		for _, r := range s.routers {
			open[key] = append(open[key], startCharge(r, key, "{}"))
		}
	}
	s.sleep(pauseDuration)
	for _, p := range paused {
		p.signal(syscall.SIGCONT)
	}
	s.awaitVersion(2, s.allDaemons()...)
	streams.requireComplete()
	answers := make(chargeAnswers)
	for key, list := range open {
		for _, result := range list {
			answers[key] = append(answers[key], <-result)
		}
		answers[key] = append(answers[key], charge(s.routers[0], key, "{}"))
	}
	s.checkCharges(answers)
}

// Guards against a router that admits requests by an old catalog after it was stopped
// and continued: the changed profile no longer allows the request.
func TestRouterPaused(t *testing.T) {
	s := startSite(t)
	paused, other := s.routers[0], s.routers[1]
	for _, p := range s.ledgers {
		s.setFaults(p, standin.ServiceFaults{DelayMS: 1000})
	}
	claims := s.countClaims()
	streams := s.startStreams(8, 300, paused)
	key := newKey()
	first := startCharge(paused, key, "{}")
	await(t, "the charge is claimed", func() error { return s.checkNewClaims(claims, 1) })
	s.awaitTokens(2, streams)
	paused.signal(syscall.SIGSTOP)
	changed := s.profile("chat")
	changed.Idempotent = false
	if code, out := s.putProfile(other, changed, 1); code != 0 {
		t.Fatalf("profile put: %s", out)
	}
	answers := chargeAnswers{key: {charge(other, key, "{}")}}
	s.sleep(pauseDuration)
	waiting := s.writeChat(paused)
	paused.signal(syscall.SIGCONT)
	if a := <-waiting; a.code != resultcode.IdempotencyKeyRequired || !a.notRun() {
		t.Errorf("a chat without a key after the change: %v", a)
	}
	s.awaitVersion(2, s.allDaemons()...)
	answers[key] = append(answers[key], <-first)
	if again := answers[key][0]; !again.ran() {
		t.Errorf("the charge sent again at the other router: %v", again)
	}
	streams.requireComplete()
	s.checkCharges(answers)
}

// writeChat sends a chat to a router that is stopped. It returns when the request has
// been written.
func (s *site) writeChat(router *process) <-chan answer {
	s.t.Helper()
	body := `{"model":"chat","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequest(http.MethodPost, router.url("callers")+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+marketKey)
	req.Header.Set("X-Pistachiowind-Profile", "chat")
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { written <- info.Err }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	result := make(chan answer, 1)
	go func() { result <- doRequest(req) }()
	select {
	case err := <-written:
		if err != nil {
			s.t.Fatal(err)
		}
	case <-time.After(waitLimit):
		s.t.Fatal("the request was not written")
	}
	return result
}

// Guards against two operators whose changes of the same catalog version both succeed,
// against a rejection that does not name the difference to the operator, and against
// a change that is not in force in every process within 11 s.
func TestTwoOperators(t *testing.T) {
	s := startSite(t)
	type result struct {
		code int
		out  string
		at   time.Time
	}
	results := make([]result, len(s.routers))
	var operators sync.WaitGroup
	for i, r := range s.routers {
		p := s.profile("chat")
		p.Target.FirstTokenMS = 2000 + 100*i
		operators.Go(func() {
			code, out := s.putProfile(r, p, 1)
			results[i] = result{code, out, time.Now()}
		})
	}
	operators.Wait()
	winner, loser := results[0], results[1]
	if winner.code != 0 {
		winner, loser = loser, winner
	}
	if winner.code != 0 || loser.code != 4 {
		t.Fatalf("exit codes %d and %d: %s %s", winner.code, loser.code, winner.out, loser.out)
	}
	if !strings.Contains(loser.out, "first_token_ms") || !strings.Contains(loser.out, "2000") || !strings.Contains(loser.out, "2100") {
		t.Errorf("the rejection does not name the difference: %s", loser.out)
	}
	s.awaitVersion(2, s.allDaemons()...)
	if took := time.Since(winner.at); took > inForceLimit {
		t.Errorf("the change was in force everywhere after %s", took)
	}
	var at struct {
		Version uint64 `json:"version"`
	}
	if err := getJSON(s.routers[0].url("admin")+"/v1/profiles", &at); err != nil || at.Version != 2 {
		t.Errorf("catalog version %d, %v", at.Version, err)
	}
}
