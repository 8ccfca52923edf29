package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/standin"
)

const testAddress = "http://127.0.0.1:80"

// serveInMemory serves h over an in-memory listener and returns a client for it.
// It must be called in a synctest bubble.
func serveInMemory(t *testing.T, h http.Handler) *http.Client {
	l := standin.NewPipeListener()
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	client := newClient()
	client.Transport.(*http.Transport).DialContext = l.DialContext
	t.Cleanup(func() {
		client.CloseIdleConnections()
		_ = server.Close()
	})
	return client
}

func chatClass(name string, streamed bool) Class {
	return Class{
		Name:     name,
		Rate:     Rate{PerSecond: 20},
		Streamed: streamed,
		Body:     ChatShape{PromptTokens: Range{10, 500}, MaxTokens: Range{4, 60}}.Body,
		Target:   catalog.Target{FirstTokenMS: 1500, InterTokenMS: 44},
	}
}

func mustRun(t *testing.T, opts Options) *Report {
	report, err := Run(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range report.Classes {
		if sum := c.Whole + c.Wrong + c.RefusedCount() + c.IncompleteCount(); sum != c.Sent {
			t.Errorf("class %s: sent %d, outcomes %d", c.Name, c.Sent, sum)
		}
	}
	return report
}

// Guards against a generator that reports faults in correct answers, and against
// runs with the same seed that differ, whose results could not be compared.
func TestRunAgainstEngine(t *testing.T) {
	counts := ""
	for range 2 {
		synctest.Test(t, func(t *testing.T) {
			engine := standin.NewEngine(standin.EngineOptions{})
			defer engine.Close()
			report := mustRun(t, Options{
				Addresses: []string{testAddress}, Client: serveInMemory(t, engine), Seed: 7, Duration: 10 * time.Second,
				Classes: []Class{chatClass("streamed", true), chatClass("not streamed", false)},
			})
			now := ""
			for _, c := range report.Classes {
				now += fmt.Sprintf("%s %d;", c.Name, c.Sent)
				if c.Whole != c.Sent || c.Attained != c.Sent || c.Sent < 150 || c.Sent > 250 {
					t.Errorf("class %s: %+v", c.Name, c)
				}
			}
			if counts != "" && now != counts {
				t.Errorf("first run: %s second run: %s", counts, now)
			}
			counts = now
		})
	}
}

// corruptingHandler replaces text in the answers of engine, which the generator has
// to detect.
type corruptingHandler struct {
	engine http.Handler
	from   string
	to     string
}

type corruptWriter struct {
	http.ResponseWriter
	corruptingHandler
}

func (w corruptWriter) Write(p []byte) (int, error) {
	_, err := w.ResponseWriter.Write(bytes.ReplaceAll(p, []byte(w.from), []byte(w.to)))
	return len(p), err
}

func (w corruptWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (c corruptingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.engine.ServeHTTP(corruptWriter{w, c}, r)
}

// Guards against a generator that counts a damaged answer as whole.
func TestRunFindsDamage(t *testing.T) {
	errorEvent := `data: {"error":{"code":3002,"execution":"unknown","message":"m"}}`
	cases := []struct {
		name, from, to string
		streamed       bool
		check          func(*ClassReport) int
	}{
		{"changed letter", "b", "c", true, func(c *ClassReport) int { return c.Wrong }},
		{"changed letter, not streamed", "b", "c", false, func(c *ClassReport) int { return c.Wrong }},
		{"no end", "data: [DONE]\n\n", "", true, func(c *ClassReport) int { return c.Incomplete[errNoDoneEvent.Error()] }},
		{"no finish reason", `"finish_reason":"`, `"x":"`, true, func(c *ClassReport) int { return c.Wrong }},
		{"data after the end", "data: [DONE]\n\n", "data: [DONE]\n\ndata: {}\n\n", true, func(c *ClassReport) int { return c.Wrong }},
		{"error event", "data: [DONE]", errorEvent, true, func(c *ClassReport) int { return c.Incomplete["error event 3002 unknown"] }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := standin.NewEngine(standin.EngineOptions{})
				defer engine.Close()
				class := chatClass("c", test.streamed)
				class.Body = ChatShape{PromptTokens: Range{10, 20}, MaxTokens: Range{50, 50}, ExactLength: true}.Body
				report := mustRun(t, Options{
					Addresses: []string{testAddress}, Client: serveInMemory(t, corruptingHandler{engine, test.from, test.to}),
					Duration: time.Hour, MaxRequests: 5, Classes: []Class{class},
				})
				if n := test.check(report.Classes[0]); n != 5 {
					t.Errorf("found %d of 5: %+v", n, report.Classes[0])
				}
			})
		})
	}
}

// Guards against a generator that waits for answers before it sends more, which
// would hide overload, and against more open requests than MaxOpen.
func TestRunIsOpenLoopAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			// The server detects that the client left only after reading the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		report := mustRun(t, Options{
			Addresses: []string{testAddress}, Client: serveInMemory(t, hang), Duration: 10 * time.Second,
			MaxOpen: 30, Timeout: time.Minute, Classes: []Class{chatClass("c", true)},
		})
		c := report.Classes[0]
		if c.Sent != 30 || c.Incomplete["timeout"] != 30 || c.NotSent < 100 {
			t.Errorf("%+v", c)
		}
		if report.Elapsed < time.Minute || report.Elapsed > 70*time.Second {
			t.Errorf("elapsed %v", report.Elapsed)
		}
	})
}

// Guards against a client that retries a call on its own when its connection
// breaks: the second run would be blamed on the router.
func TestRunSendsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := standin.NewLedger(standin.ServiceOptions{})
		defer ledger.Close()
		class := Class{
			Name: "charge", Path: "/charges", Rate: Rate{PerSecond: 10}, IdempotencyKey: true,
			Body: ServiceBody, Verify: VerifyServiceCall,
		}
		opts := Options{
			Addresses: []string{testAddress}, Client: serveInMemory(t, ledger),
			Duration: time.Hour, MaxRequests: 20, Classes: []Class{class},
			OnResult: func(r Result) {
				lose := standin.ServiceFaults{LoseAnswers: 1}
				if r.Outcome != Whole {
					lose.LoseAnswers = 0
				}
				if err := ledger.SetFaults(lose); err != nil {
					t.Error(err)
				}
			},
		}
		report := mustRun(t, opts)
		if c := report.Classes[0]; c.Whole != 10 || c.IncompleteCount() != 10 {
			t.Errorf("%+v", c)
		}
		for key, n := range ledger.RunsByKey() {
			if n != 1 || !strings.HasPrefix(key, "charge-") {
				t.Errorf("key %s ran %d times", key, n)
			}
		}
	})
}

// Guards against refusals without their code and execution in the report, and
// against a table that omits a kind of outcome.
func TestReportTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := 0
		refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answers++
			if answers%2 == 0 {
				w.Header().Set("Retry-After", "1")
				w.Header().Set("X-Pistachiowind-Execution", "not_run")
			}
			if answers == 5 {
				panic(http.ErrAbortHandler)
			}
			if answers == 6 {
				return
			}
			w.WriteHeader(503)
			if answers != 7 {
				_, _ = w.Write([]byte(`{"error":{"code":2001,"execution":"unknown"}}`))
			}
		})
		engine := standin.NewEngine(standin.EngineOptions{})
		defer engine.Close()
		opts := Options{Addresses: []string{testAddress}, Duration: time.Hour, MaxRequests: 8}
		opts.Client, opts.Classes = serveInMemory(t, refuse), []Class{chatClass("refused", false)}
		report := mustRun(t, opts)
		opts.Client, opts.Classes = serveInMemory(t, engine), []Class{chatClass("whole", true)}
		report.Classes = append(report.Classes, mustRun(t, opts).Classes...)
		var table bytes.Buffer
		if err := report.WriteTable(&table); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, "table", table.Bytes())
	})
}

// Guards against a run that sends to other machines or has no limit.
func TestOptionsAreChecked(t *testing.T) {
	for _, change := range []func(*Options){
		func(o *Options) { o.Addresses = []string{"http://192.0.2.1:80"} },
		func(o *Options) { o.Addresses = []string{"http://router.example:80"} },
		func(o *Options) { o.Duration = 2 * MaxDuration },
		func(o *Options) { o.Classes[0].Rate.PerSecond = 1e9 },
		func(o *Options) { o.Classes = append(o.Classes, o.Classes[0]) },
	} {
		opts := Options{Addresses: []string{testAddress}, Duration: time.Second, Classes: []Class{chatClass("c", true)}}
		change(&opts)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := Run(ctx, opts); err == nil {
			t.Errorf("accepted %+v", opts)
		}
	}
}

// Guards against bursts and sine variation that are missing from the load, on which
// the measurements of overload rely.
func TestRate(t *testing.T) {
	rate := Rate{
		PerSecond: 100,
		Sine:      SineVariation{Period: 40 * time.Second, Amplitude: 0.5},
		Bursts:    []Burst{{Start: 20 * time.Second, Duration: 10 * time.Second, Factor: 4}},
	}
	a := newPoissonArrivals(rate, rand.New(rand.NewPCG(1, 2)))
	var perTen [4]int
	for at := a.next(40 * time.Second); at < 40*time.Second; at = a.next(40 * time.Second) {
		perTen[at/(10*time.Second)]++
	}
	// Means of the sine over a quarter period are 1 +- 0.5*2/pi.
	for i, want := range []int{1318, 1318, 2727, 682} {
		if perTen[i] < want*92/100 || perTen[i] > want*108/100 {
			t.Errorf("from %d s: %d arrivals, want about %d", 10*i, perTen[i], want)
		}
	}
}

// Guards against received bytes that crash the generator, and against a broken
// stream that counts as whole.
func FuzzReadStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"error\":{\"code\":\"3002\",\"execution\":\"unknown\"}}\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"del"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = parseAPIError(data)
		err := readStream(bytes.NewReader(data), func(text string) {
			if text == "" {
				t.Error("empty text")
			}
		})
		if err == nil && !bytes.Contains(data, []byte("[DONE]")) {
			t.Error("a stream without [DONE] counts as whole")
		}
	})
}
