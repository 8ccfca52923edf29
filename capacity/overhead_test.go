package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/agent"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/router"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	overheadTokens = 16

	// fastTokenInterval gives four times the planned token rate per stream; 256
	// streams then carry four times the tokens of one router at the planned size.
	fastTokenInterval = 10 * time.Millisecond
)

// BenchmarkOverhead compares requests sent directly to the stand-in engine,
// through httputil.ReverseProxy (one and two hops), and through router and agent.
// All run in this process. The paced engine generates the planned 25 tokens per
// second and stream; the fast one generates four times as many; the unpaced one
// generates as fast as it can, which leaves the cost of the path itself.
// Allocations include those of the caller and the engine.
func BenchmarkOverhead(b *testing.B) {
	for _, pace := range []struct {
		name string
		step time.Duration
	}{{"paced", tokenInterval}, {"fast", fastTokenInterval}, {"unpaced", time.Microsecond}} {
		site := startBenchSite(b, pace.step)
		for _, streams := range []int{1, 256} {
			for _, path := range benchPathsOf(b, site) {
				b.Run(fmt.Sprintf("%s/streams=%d/%s", pace.name, streams, path.name), func(b *testing.B) {
					benchmarkOverhead(b, path.url, streams)
				})
			}
		}
	}
}

type benchPath struct{ name, url string }

var benchPathsBySite = map[*Site][]benchPath{}

func benchPathsOf(b *testing.B, site *Site) []benchPath {
	if benchPathsBySite[site] == nil {
		one := proxy(b, site.EngineURL)
		benchPathsBySite[site] = []benchPath{
			{"direct", site.EngineURL},
			{"proxy", one},
			{"proxy-proxy", proxy(b, one)},
			{"router-agent", "http://" + site.startRouter(b)},
		}
	}
	return benchPathsBySite[site]
}

func startBenchSite(tb testing.TB, step time.Duration) *Site {
	site, err := StartSite(plannedAccounts, standin.EngineOptions{Model: standin.EngineModelOptions{
		Slots: engineSlots, StepBase: step, StepPerSequence: 1, PrefillRate: 1 << 30, PrefillChunk: 1 << 20,
	}})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(site.Close)
	return site
}

// proxy returns the URL of a reverse proxy that keeps enough idle connections for
// all streams.
func proxy(tb testing.TB, target string) string {
	u, err := url.Parse(target)
	if err != nil {
		tb.Fatal(err)
	}
	p := httputil.NewSingleHostReverseProxy(u)
	p.FlushInterval = -1
	p.Transport = &http.Transport{MaxIdleConnsPerHost: engineSlots, DisableCompression: true}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without full duplex, the server closes the request body when the engine
		// answers at once. The transport may then treat its last read of that body
		// as a failed write and close the connection to the engine.
		_ = http.NewResponseController(w).EnableFullDuplex()
		p.ServeHTTP(w, r)
	}))
	tb.Cleanup(server.Close)
	return server.URL
}

// startRouter starts an agent for the site's engine and a router in front of it,
// and returns the router's address for callers.
func (s *Site) startRouter(tb testing.TB) string {
	tb.Helper()
	a, err := agent.New(agent.Options{
		Name: "agent", Region: region, AvailabilityZone: zone, PeersAddress: loopbackAddress, AdminAddress: loopbackAddress,
		EndpointURL: s.EngineURL, Table: platform.NewTable(storage.Options{URL: s.TableURL}),
		Objects:     platform.NewObjectStore(storage.Options{URL: s.ObjectsURL}),
		Concurrency: agent.Concurrency{Initial: engineSlots, Min: 1, Max: engineSlots},
		// With zero, the agent would wait for streams that a failed test leaves open.
		DrainTimeout: time.Second, Log: zerolog.Nop(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	s.group.Go(func() error { return a.Serve(s.ctx, s.ctx) })
	r, err := router.New(router.Options{
		Name: "router", Region: region, AvailabilityZone: zone,
		CallersAddress: loopbackAddress, PeersAddress: loopbackAddress, AdminAddress: loopbackAddress,
		Table: platform.NewTable(storage.Options{URL: s.TableURL}), Agents: []string{a.PeersAddress()},
		ReadyGrace: -1, DrainTimeout: time.Second, Log: zerolog.Nop(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	s.group.Go(func() error { return r.Serve(s.ctx, s.ctx) })
	if err := await("router ready", func() (bool, error) { return r.Ready() == nil, nil }); err != nil {
		tb.Fatal(err)
	}
	return r.CallersAddress()
}

// callTimes holds the times to the first byte and to the end of the answer, as
// seen by the callers.
type callTimes struct{ first, total []time.Duration }

func benchmarkOverhead(b *testing.B, base string, streams int) {
	transport := &http.Transport{MaxIdleConnsPerHost: streams, DisableCompression: true}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	seen := make([]callTimes, streams)
	var left atomic.Int64
	var id atomic.Int64
	run := func(requests int) {
		left.Store(int64(requests))
		var callers errgroup.Group
		for i := range streams {
			callers.Go(func() error {
				for left.Add(-1) >= 0 {
					if err := timedChat(client, base, int(id.Add(1)), &seen[i]); err != nil {
						return err
					}
				}
				return nil
			})
		}
		if err := callers.Wait(); err != nil {
			b.Fatal(err)
		}
	}
	// The first requests open the connections and are not measured.
	run(2 * streams)
	for i := range seen {
		seen[i] = callTimes{}
	}
	b.ReportAllocs()
	b.ResetTimer()
	run(b.N)
	b.StopTimer()
	var all callTimes
	for _, t := range seen {
		all.first, all.total = append(all.first, t.first...), append(all.total, t.total...)
	}
	reportPercentiles(b, "first", all.first)
	reportPercentiles(b, "whole", all.total)
}

func reportPercentiles(b *testing.B, name string, values []time.Duration) {
	slices.Sort(values)
	at := func(q float64) float64 {
		return float64(values[int(q*float64(len(values)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(at(0.50), name+"-p50-ms")
	b.ReportMetric(at(0.99), name+"-p99-ms")
}

func timedChat(client *http.Client, base string, id int, t *callTimes) error {
	body := chatBody(id, overheadTokens)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+fmt.Sprintf(apiKeyFormat, id%plannedAccounts))
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		return err
	}
	t.first = append(t.first, time.Since(began))
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	t.total = append(t.total, time.Since(began))
	if resp.StatusCode != http.StatusOK || !bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("status %d, answer ends with %q", resp.StatusCode, rest[max(0, len(rest)-100):])
	}
	return nil
}

// lockstepEngine generates a token only after the caller has received the
// previous one.
type lockstepEngine struct{ received chan struct{} }

const lockstepTokens = 20

// ServeHTTP serves the routes that an agent uses.
func (e *lockstepEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		return
	case "/v1/models":
		_, _ = io.WriteString(w, `{"data":[{"id":"`+standin.DefaultModel+`"}]}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range lockstepTokens {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%d \"},\"finish_reason\":null}]}\n\n", i)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-e.received:
		case <-r.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

// Guards against tokens that stay in a buffer of the router or the agent until
// later tokens fill it.
func TestNoTokenWaitsForALaterOne(t *testing.T) {
	engine := &lockstepEngine{received: make(chan struct{})}
	server := httptest.NewServer(engine)
	defer server.Close()
	site := startBenchSite(t, tokenInterval)
	site.EngineURL = server.URL
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	address := "http://" + site.startRouter(t) + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(chatBody(0, lockstepTokens)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+fmt.Sprintf(apiKeyFormat, 0))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	tokens := 0
	events := bufio.NewScanner(resp.Body)
	for events.Scan() {
		if bytes.Contains(events.Bytes(), []byte(fmt.Sprintf(`"%d "`, tokens))) {
			tokens++
			engine.received <- struct{}{}
		}
	}
	if tokens != lockstepTokens {
		t.Errorf("%d of %d tokens arrived, each before the next was generated: %v", tokens, lockstepTokens, events.Err())
	}
}
