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

// number makes keys and prompts unique in this test binary.
var number atomic.Int64

func newKey() string { return fmt.Sprintf("key-%d", number.Add(1)) }

// traffic is chat load that runs in the background.
type traffic struct {
	s    *site
	opts loadgen.Options
	// tokens that each engine had generated before.
	tokens []int
	runs   sync.WaitGroup

	mu  sync.Mutex
	err error
	sum loadgen.ClassReport
}

// streams sends n streamed chats with answers of the given length through the
// routers. Every answer is compared with standin.ExpectedAnswer.
func (s *site) streams(n, tokens int, routers ...*process) *traffic {
	s.t.Helper()
	return s.profileStreams("history", n, tokens, routers...)
}

func (s *site) profileStreams(profile string, n, tokens int, routers ...*process) *traffic {
	s.t.Helper()
	tr := s.traffic(profile, loadgen.Rate{PerSecond: 200}, tokens, routers)
	tr.opts.Duration = loadgen.MaxDuration
	tr.send(n)
	return tr
}

// shortStreams sends short streams for some seconds.
func (s *site) shortStreams(routers ...*process) *traffic {
	s.t.Helper()
	tr := s.traffic("history", loadgen.Rate{PerSecond: 10}, 5, routers)
	tr.opts.Duration = 5 * time.Second
	tr.send(0)
	return tr
}

func (s *site) traffic(profile string, rate loadgen.Rate, tokens int, routers []*process) *traffic {
	s.t.Helper()
	shape := loadgen.ChatShape{
		PromptTokens: loadgen.Range{Min: 10, Max: 40},
		MaxTokens:    loadgen.Range{Min: tokens, Max: tokens},
		WholeLength:  true,
	}
	tr := &traffic{s: s}
	tr.opts.Classes = []loadgen.Class{{
		Name: profile, Profile: profile, Keys: []loadgen.Key{{Value: marketKey}},
		Rate: rate, Streamed: true, Body: shape.Body,
	}}
	for _, r := range routers {
		tr.opts.Addresses = append(tr.opts.Addresses, r.url("callers"))
	}
	for i := range s.engines {
		tr.tokens = append(tr.tokens, s.stats(i).Tokens)
	}
	return tr
}

// send sends n more streams; zero sends until the duration has passed.
func (tr *traffic) send(n int) {
	opts := tr.opts
	opts.Seed = uint64(number.Add(1))
	opts.MaxRequests = n
	ctx, cancel := context.WithCancel(context.Background())
	tr.runs.Go(func() {
		report, err := loadgen.Run(ctx, opts)
		tr.add(report, err)
	})
	tr.s.t.Cleanup(func() {
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
	tr.sum.Sent += c.Sent
	tr.sum.NotSent += c.NotSent
	tr.sum.Whole += c.Whole
	tr.sum.Wrong += c.Wrong
	tr.sum.Failures = append(tr.sum.Failures, c.Failures...)
	if c.RefusedCount() > 0 {
		tr.sum.Failures = append(tr.sum.Failures, loadgen.Result{Outcome: loadgen.Refused, Reason: fmt.Sprint(c.Refused)})
	}
}

// end waits for the end of the load and returns its counts.
func (tr *traffic) end() *loadgen.ClassReport {
	tr.s.t.Helper()
	tr.runs.Wait()
	if tr.err != nil {
		tr.s.t.Fatal(tr.err)
	}
	return &tr.sum
}

// whole waits for the end of the load and requires every answer to be whole.
func (tr *traffic) whole() {
	tr.s.t.Helper()
	c := tr.end()
	if c.Whole == c.Sent && c.Sent > 0 && c.NotSent == 0 {
		return
	}
	tr.s.t.Errorf("%d of %d streams are whole, %d wrong", c.Whole, c.Sent, c.Wrong)
	for _, f := range c.Failures {
		tr.s.t.Logf("%s: status %d, %s %d %s", f.Outcome, f.Status, f.Reason, f.Code, f.Execution)
	}
}

// reachesAll sends short work through a router and reports an error until every
// engine and ledger has received some of it.
func (s *site) reachesAll(router *process) error {
	before := s.reached()
	for range 8 {
		if a := charge(router, newKey(), "{}"); a.err != nil {
			return a.err
		}
		if err := shortChat(router); err != nil {
			return err
		}
	}
	for i, n := range s.reached() {
		if n == before[i] {
			return fmt.Errorf("endpoint %d received nothing", i)
		}
	}
	return nil
}

// reached counts what each engine and ledger has received.
func (s *site) reached() []int {
	var counts []int
	for i := range s.engines {
		counts = append(counts, s.stats(i).Started)
	}
	for _, p := range s.ledgers {
		var calls []struct{}
		if err := get(p.url("address")+"/log", &calls); err != nil {
			s.t.Fatal(err)
		}
		counts = append(counts, len(calls))
	}
	return counts
}

func shortChat(router *process) error {
	body := loadgen.ChatShape{MaxTokens: loadgen.Range{Min: 1, Max: 1}}.Body(rand.New(rand.NewPCG(uint64(number.Add(1)), 0)), false)
	a := call(router, "/v1/chat/completions", "history", "", string(body))
	if a.err == nil && a.status != http.StatusOK {
		a.err = fmt.Errorf("chat: %d %s", a.status, a.body)
	}
	return a.err
}

// answer is the router's answer to one call.
type answer struct {
	// err is set when there was no answer; the execution is then unknown.
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
		// The canonical name would let net/http send the request again by itself.
		req.Header["idempotency-key"] = []string{key}
	}
	return exchange(req)
}

func exchange(req *http.Request) answer {
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

// goCharge sends a charge in the background.
func goCharge(router *process, key, body string) <-chan answer {
	result := make(chan answer, 1)
	go func() { result <- charge(router, key, body) }()
	return result
}

// told is what callers were told about their keys.
type told map[string][]answer

// check compares the answers with the calls that ran: no key more than once,
// each key with an answer from its run at least once, and none with not_run only.
func (s *site) check(answers told) {
	s.t.Helper()
	runs := s.runs()
	for key, n := range runs {
		if n > 1 {
			s.t.Errorf("%s ran %d times: %v", key, n, answers[key])
		}
	}
	for key, list := range answers {
		ran, only := false, true
		for _, a := range list {
			ran = ran || a.ran() || a.execution == resultcode.Ran
			only = only && a.notRun()
		}
		if ran && runs[key] == 0 {
			s.t.Errorf("%s did not run: %v", key, list)
		}
		if only && runs[key] > 0 {
			s.t.Errorf("%s ran although every answer says not_run: %v", key, list)
		}
	}
}
