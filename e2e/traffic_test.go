package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/loadgen"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// uniqueNumber is a counter that gives keys and prompts unique values in the test binary.
var uniqueNumber atomic.Int64

func newKey() string { return fmt.Sprintf("key-%d", uniqueNumber.Add(1)) }

// traffic is chat load that runs in the background.
type traffic struct {
	site *site
	opts loadgen.Options
	// tokensBefore is the number of tokens that each engine had generated before.
	tokensBefore []int
	runs         sync.WaitGroup

	mu    sync.Mutex
	err   error
	total loadgen.ClassReport
}

// startStreams sends n streamed chats with answers of the given number of tokens
// through the routers. Every answer is compared with standin.ExpectedAnswer.
func (s *site) startStreams(n, tokens int, routers ...*process) *traffic {
	s.t.Helper()
	return s.startProfileStreams("history", n, tokens, routers...)
}

func (s *site) startProfileStreams(profile string, n, tokens int, routers ...*process) *traffic {
	s.t.Helper()
	tr := s.newTraffic(profile, loadgen.Rate{PerSecond: 200}, tokens, routers)
	tr.opts.Duration = loadgen.MaxDuration
	tr.send(n)
	return tr
}

// startShortStreams sends 10 short streams per second for 5 s.
func (s *site) startShortStreams(routers ...*process) *traffic {
	s.t.Helper()
	tr := s.newTraffic("history", loadgen.Rate{PerSecond: 10}, 5, routers)
	tr.opts.Duration = 5 * time.Second
	tr.send(0)
	return tr
}

func (s *site) newTraffic(profile string, rate loadgen.Rate, tokens int, routers []*process) *traffic {
	s.t.Helper()
	shape := loadgen.ChatShape{
		PromptTokens: loadgen.Range{Min: 10, Max: 40},
		MaxTokens:    loadgen.Range{Min: tokens, Max: tokens},
		ExactLength:  true,
	}
	tr := &traffic{site: s}
	tr.opts.Classes = []loadgen.Class{{
		Name: profile, Profile: profile, APIKeys: []loadgen.APIKey{{Value: marketKey}},
		Rate: rate, Streamed: true, Body: shape.Body,
	}}
	for _, r := range routers {
		tr.opts.Addresses = append(tr.opts.Addresses, r.url("callers"))
	}
	for i := range s.engines {
		tr.tokensBefore = append(tr.tokensBefore, s.engineStats(i).Tokens)
	}
	return tr
}

// send sends n more streams in the background; with zero it sends until the duration
// has passed.
func (tr *traffic) send(n int) {
	opts := tr.opts
	opts.Seed = uint64(uniqueNumber.Add(1))
	opts.MaxRequests = n
	ctx, cancel := context.WithCancel(context.Background())
	tr.runs.Go(func() {
		report, err := loadgen.Run(ctx, opts)
		tr.add(report, err)
	})
	tr.site.t.Cleanup(func() {
		cancel()
		tr.runs.Wait()
	})
}

func (tr *traffic) add(report *loadgen.Report, err error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if err != nil {
		tr.err = err
		return
	}
	c := report.Classes[0]
	tr.total.Sent += c.Sent
	tr.total.NotSent += c.NotSent
	tr.total.Whole += c.Whole
	tr.total.Wrong += c.Wrong
	tr.total.Failures = append(tr.total.Failures, c.Failures...)
	if c.RefusedCount() > 0 {
		tr.total.Failures = append(tr.total.Failures, loadgen.Result{Outcome: loadgen.Refused, Reason: fmt.Sprint(c.Refused)})
	}
}

// wait waits for the end of the load and returns the counts.
func (tr *traffic) wait() *loadgen.ClassReport {
	tr.site.t.Helper()
	tr.runs.Wait()
	if tr.err != nil {
		tr.site.t.Fatal(tr.err)
	}
	return &tr.total
}

// requireComplete waits for the end of the load and fails the test unless every request
// was sent and every answer is complete.
func (tr *traffic) requireComplete() {
	tr.site.t.Helper()
	c := tr.wait()
	if c.Whole == c.Sent && c.Sent > 0 && c.NotSent == 0 {
		return
	}
	tr.site.t.Errorf("%d of %d streams are complete, %d wrong", c.Whole, c.Sent, c.Wrong)
	for _, f := range c.Failures {
		tr.site.t.Logf("%s: status %d, %s %d %s", f.Outcome, f.Status, f.Reason, f.Code, f.Execution)
	}
}

// checkReachesAll sends short requests through a router and returns an error unless
// every engine and ledger received one of them.
func (s *site) checkReachesAll(router *process) error {
	before := s.receivedCounts()
	for range 8 {
		if a := charge(router, newKey(), "{}"); a.err != nil {
			return a.err
		}
		if err := shortChat(router); err != nil {
			return err
		}
	}
	for i, n := range s.receivedCounts() {
		if n == before[i] {
			return fmt.Errorf("endpoint %d received nothing", i)
		}
	}
	return nil
}

// receivedCounts returns the number of requests that each engine and ledger has
// received.
func (s *site) receivedCounts() []int {
	var counts []int
	for i := range s.engines {
		counts = append(counts, s.engineStats(i).Started)
	}
	for _, p := range s.ledgers {
		var calls []struct{}
		if err := getJSON(p.url("address")+"/log", &calls); err != nil {
			s.t.Fatal(err)
		}
		counts = append(counts, len(calls))
	}
	return counts
}

func shortChat(router *process) error {
	body := loadgen.ChatShape{MaxTokens: loadgen.Range{Min: 1, Max: 1}}.Body(rand.New(rand.NewPCG(uint64(uniqueNumber.Add(1)), 0)), false)
	a := call(router, "/v1/chat/completions", "history", "", string(body))
	if a.err == nil && a.status != http.StatusOK {
		a.err = fmt.Errorf("chat: %d %s", a.status, a.body)
	}
	return a.err
}

// answer is the router's answer to one call, as its caller sees it.
type answer struct {
	// err is set when there was no complete answer; the execution is then unknown.
	err       error
	status    int
	code      resultcode.Code
	execution resultcode.Execution
	replayed  bool
	body      string
}

func (a answer) ran() bool    { return a.err == nil && a.status == http.StatusCreated }
func (a answer) notRun() bool { return a.err == nil && a.execution == resultcode.NotRun }

func (a answer) String() string {
	return fmt.Sprintf("status %d, code %d, %s, replayed %t, %v: %s", a.status, a.code, a.execution, a.replayed, a.err, a.body)
}

// charge sends a charge once.
func charge(router *process, key, body string) answer {
	return call(router, "/services/ledger/charges", "", key, body)
}

func call(router *process, path, profile, key, body string) answer {
	req, err := http.NewRequest(http.MethodPost, router.url("callers")+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+marketKey)
	if profile != "" {
		req.Header.Set("X-Pistachiowind-Profile", profile)
	}
	if key != "" {
		// With the canonical name, net/http may send the request again by itself.
		req.Header["idempotency-key"] = []string{key}
	}
	return doRequest(req)
}

func doRequest(req *http.Request) answer {
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	a := answer{
		status:    resp.StatusCode,
		execution: resultcode.Execution(resp.Header.Get("X-Pistachiowind-Execution")),
		replayed:  resp.Header.Get("Idempotent-Replayed") == "true",
		body:      string(data),
	}
	var refusal struct {
		Error struct {
			Code resultcode.Code `json:"code,string"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &refusal) == nil {
		a.code = refusal.Error.Code
	}
	return a
}

// startCharge sends a charge in the background.
func startCharge(router *process, key, body string) <-chan answer {
	result := make(chan answer, 1)
	go func() { result <- charge(router, key, body) }()
	return result
}

// chargeAnswers are the answers that callers received, by idempotency key.
type chargeAnswers map[string][]answer

// checkCharges compares the answers with the calls that ran: no key ran more than once,
// a key with an answer that it ran did run, and a key whose answers are all not_run did
// not run.
func (s *site) checkCharges(answers chargeAnswers) {
	s.t.Helper()
	runs := s.runsByKey()
	for key, n := range runs {
		if n > 1 {
			s.t.Errorf("%s ran %d times: %v", key, n, answers[key])
		}
	}
	for key, list := range answers {
		ran, onlyNotRun := false, true
		for _, a := range list {
			ran = ran || a.ran() || a.execution == resultcode.Ran
			onlyNotRun = onlyNotRun && a.notRun()
		}
		if ran && runs[key] == 0 {
			s.t.Errorf("%s did not run: %v", key, list)
		}
		if onlyNotRun && runs[key] > 0 {
			s.t.Errorf("%s ran although every answer says not_run: %v", key, list)
		}
	}
}
