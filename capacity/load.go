package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/standin"
)

const (
	engineSlots = 1024

	// tokenInterval is the engine's time between tokens at every batch size.
	tokenInterval = 40 * time.Millisecond

	// promptBytes is the length of each prompt, about 500 tokens.
	promptBytes = 2000

	loadWindow  = 4 * time.Second
	loadWarmUp  = 1500 * time.Millisecond
	callTimeout = time.Minute
)

var (
	streamCounts = []int{32, 64, 128, 256}
	requestRates = []int{50, 100, 200, 400}
)

// proxyChain is a measured router in front of a measured agent with one engine.
type proxyChain struct {
	site          *Site
	router        *Process
	agent         *Process
	callerTraffic *TrafficCounter
	client        *http.Client
}

func startProxyChain(step time.Duration) (*proxyChain, error) {
	site, err := StartSite(plannedAccounts, standin.EngineOptions{Model: standin.EngineModelOptions{
		Slots: engineSlots, StepBase: step, StepPerSequence: 1, PrefillRate: 1 << 30, PrefillChunk: 1 << 20,
	}})
	if err != nil {
		return nil, err
	}
	c := &proxyChain{site: site, callerTraffic: &TrafficCounter{}}
	c.client = c.callerTraffic.Client(engineSlots)
	if c.agent, err = site.StartProcess(settings.RoleAgent, "agent", engineSlots); err == nil {
		site.AddToVMList(c.agent.Addresses.Peers)
		if err = site.VMs.Set(site.listedVMs); err == nil {
			c.router, err = site.StartProcess(settings.RoleRouter, "router", 0)
		}
	}
	if err == nil {
		err = await("the router knows its endpoint", func() (bool, error) {
			now, err := c.router.Sample()
			return now.Serving == 1 && now.Version > 0, err
		})
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *proxyChain) close() {
	for _, s := range []*Process{c.router, c.agent} {
		if s != nil {
			s.Close()
		}
	}
	c.client.CloseIdleConnections()
	c.site.Close()
}

// chatBody returns a streamed request for an answer of exactly the given number
// of tokens. Prompts differ only in their last characters, so that the stand-in
// engine finds the rest in its prefix cache and does not become the bottleneck.
func chatBody(id, tokens int) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		IgnoreEOS bool      `json:"ignore_eos"`
	}{
		Model:    standin.DefaultModel,
		Messages: []message{{"user", strings.Repeat("text ", promptBytes/5) + fmt.Sprint(id)}},
		Stream:   true, MaxTokens: tokens, IgnoreEOS: true,
	})
	return body
}

// call sends one request to the router and reads its complete answer.
func (c *proxyChain) call(ctx context.Context, id, tokens int) error {
	url := "http://" + c.router.Addresses.Callers + "/v1/chat/completions"
	return postChat(ctx, c.client, url, chatBody(id, tokens), id)
}

func postChat(ctx context.Context, client *http.Client, url string, body []byte, id int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+fmt.Sprintf(apiKeyFormat, id%plannedAccounts))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.HasSuffix(answer, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("answer with status %d ends with %q", resp.StatusCode, answer[max(0, len(answer)-200):])
	}
	return nil
}

var loadCosts = []string{
	"cores", "live heap and stacks, bytes", "goroutines", "largest resident memory, bytes",
	"bytes/s between router and agent", "bytes/s between caller and router",
}

// MeasureStreams measures router and agent against the number of open streams,
// each of which carries 25 tokens per second.
func MeasureStreams(log io.Writer) ([]*Series, error) {
	router := newSeriesGroup(Data, "router", "open streams of 25 tokens/s", loadCosts)
	agent := newSeriesGroup(Data, "agent", "open streams of 25 tokens/s", loadCosts[:5])
	for _, n := range streamCounts {
		fmt.Fprintf(log, "%d open streams\n", n)
		if err := measureStreams(n, router, agent); err != nil {
			return nil, err
		}
	}
	return append(router.finish(), agent.finish()...), nil
}

func measureStreams(n int, router, agent *seriesGroup) error {
	c, err := startProxyChain(tokenInterval)
	if err != nil {
		return err
	}
	defer c.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers errgroup.Group
	for i := range n {
		callers.Go(func() error {
			if err := c.call(ctx, i, 10_000); ctx.Err() == nil {
				return fmt.Errorf("stream ended before the measurement was complete: %w", err)
			}
			return nil
		})
	}
	time.Sleep(loadWarmUp)
	err = c.sampleWindows(float64(n), router, agent)
	stop()
	if waitErr := callers.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// sampleWindows records the repetitions at size x, one after the other.
func (c *proxyChain) sampleWindows(x float64, router, agent *seriesGroup) error {
	for range repetitions {
		var g errgroup.Group
		var from, to [2]Sample
		before := c.callerTraffic.Traffic()
		for i, s := range []*Process{c.router, c.agent} {
			g.Go(func() (err error) {
				from[i], to[i], err = sampleWindow(s, loadWindow)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		callers := c.callerTraffic.Traffic().Minus(before)
		wall := to[0].Usage.At.Sub(from[0].Usage.GCDoneAt).Seconds()
		peers := float64(to[0].Peers.Minus(from[0].Peers).Bytes()) / wall
		for i, group := range []*seriesGroup{router, agent} {
			u := to[i].Usage
			values := []float64{CoresUsed(from[i].Usage, u), float64(u.Heap), float64(u.Goroutines), float64(u.MaxRSS), peers}
			if group == router {
				values = append(values, float64(callers.Bytes())/wall)
			}
			group.add(x, values...)
		}
	}
	return nil
}

// MeasureRequests measures router and agent against the number of requests per
// second, each with an answer of one token.
func MeasureRequests(log io.Writer) ([]*Series, error) {
	router := newSeriesGroup(Data, "router", "requests/s of one token", loadCosts)
	agent := newSeriesGroup(Data, "agent", "requests/s of one token", loadCosts[:5])
	c, err := startProxyChain(2 * time.Millisecond)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for _, rate := range requestRates {
		fmt.Fprintf(log, "%d requests/s\n", rate)
		if err := c.measureRequests(rate, router, agent); err != nil {
			return nil, err
		}
	}
	return append(router.finish(), agent.finish()...), nil
}

func (c *proxyChain) measureRequests(rate int, router, agent *seriesGroup) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers errgroup.Group
	callers.Go(func() error {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for id := 0; ; id++ {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			callers.Go(func() error { return c.call(context.WithoutCancel(ctx), id, 1) })
		}
	})
	time.Sleep(loadWarmUp)
	err := c.sampleWindows(float64(rate), router, agent)
	stop()
	if waitErr := callers.Wait(); err == nil {
		err = waitErr
	}
	return err
}
