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

	// tokenInterval is the engine's time between tokens, whatever the batch.
	tokenInterval = 40 * time.Millisecond

	// promptBytes is the length of each prompt, about 500 tokens.
	promptBytes = 2000

	loadWindow  = 4 * time.Second
	loadSettle  = 1500 * time.Millisecond
	callTimeout = time.Minute
)

var (
	streamCounts = []int{32, 64, 128, 256}
	requestRates = []int{50, 100, 200, 400}
)

// chain is a router and an agent under measurement with one engine behind them.
type chain struct {
	site   *Site
	router *Subject
	agent  *Subject
	wire   *Wire
	client *http.Client
}

func startChain(step time.Duration) (*chain, error) {
	site, err := StartSite(plannedAccounts, standin.EngineOptions{Model: standin.EngineModelOptions{
		Slots: engineSlots, StepBase: step, StepPerSequence: 1, PrefillRate: 1 << 30, PrefillChunk: 1 << 20,
	}})
	if err != nil {
		return nil, err
	}
	c := &chain{site: site, wire: &Wire{}}
	c.client = c.wire.Client(engineSlots)
	if c.agent, err = site.Subject(settings.RoleAgent, "agent", engineSlots); err == nil {
		site.List(c.agent.Addresses.Peers)
		if err = site.VMs.Set(site.listed); err == nil {
			c.router, err = site.Subject(settings.RoleRouter, "router", 0)
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

func (c *chain) close() {
	for _, s := range []*Subject{c.router, c.agent} {
		if s != nil {
			s.Close()
		}
	}
	c.client.CloseIdleConnections()
	c.site.Close()
}

// chatBody is a streamed request for an answer of exactly this many tokens. Its
// prompt differs at the end only, so that the engine's stand-in finds the rest
// in its cache and does not become the bottleneck.
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

// call sends one request and reads its whole answer.
func (c *chain) call(ctx context.Context, id, tokens int) error {
	url := "http://" + c.router.Addresses.Callers + "/v1/chat/completions"
	return chat(ctx, c.client, url, chatBody(id, tokens), id)
}

func chat(ctx context.Context, client *http.Client, url string, body []byte, id int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+fmt.Sprintf(callerKey, id%plannedAccounts))
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

// Streams measures router and agent against open streams that each carry 25
// tokens per second.
func Streams(log io.Writer) ([]*Series, error) {
	router := newSet(Data, "router", "open streams of 25 tokens/s", loadCosts)
	agent := newSet(Data, "agent", "open streams of 25 tokens/s", loadCosts[:5])
	for _, n := range streamCounts {
		fmt.Fprintf(log, "%d open streams\n", n)
		if err := streams(n, router, agent); err != nil {
			return nil, err
		}
	}
	return append(router.finish(), agent.finish()...), nil
}

func streams(n int, router, agent *set) error {
	c, err := startChain(tokenInterval)
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
				return fmt.Errorf("a stream ended early: %w", err)
			}
			return nil
		})
	}
	time.Sleep(loadSettle)
	err = c.windows(float64(n), router, agent)
	stop()
	if waitErr := callers.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// windows records the repetitions of one size, one after the other.
func (c *chain) windows(x float64, router, agent *set) error {
	for range repetitions {
		var g errgroup.Group
		var from, to [2]Sample
		before := c.wire.Traffic()
		for i, s := range []*Subject{c.router, c.agent} {
			g.Go(func() (err error) {
				from[i], to[i], err = window(s, loadWindow)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		callers := c.wire.Traffic().Minus(before)
		wall := to[0].Usage.At.Sub(from[0].Usage.ResumeAt).Seconds()
		peers := float64(to[0].Peers.Minus(from[0].Peers).Bytes()) / wall
		for i, set := range []*set{router, agent} {
			u := to[i].Usage
			values := []float64{Cores(from[i].Usage, u), float64(u.Heap), float64(u.Goroutines), float64(u.MaxRSS), peers}
			if set == router {
				values = append(values, float64(callers.Bytes())/wall)
			}
			set.add(x, values...)
		}
	}
	return nil
}

// Requests measures router and agent against requests per second with an answer
// of one token each.
func Requests(log io.Writer) ([]*Series, error) {
	router := newSet(Data, "router", "requests/s of one token", loadCosts)
	agent := newSet(Data, "agent", "requests/s of one token", loadCosts[:5])
	c, err := startChain(2 * time.Millisecond)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for _, rate := range requestRates {
		fmt.Fprintf(log, "%d requests/s\n", rate)
		if err := c.requests(rate, router, agent); err != nil {
			return nil, err
		}
	}
	return append(router.finish(), agent.finish()...), nil
}

func (c *chain) requests(rate int, router, agent *set) error {
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
	time.Sleep(loadSettle)
	err := c.windows(float64(rate), router, agent)
	stop()
	if waitErr := callers.Wait(); err == nil {
		err = waitErr
	}
	return err
}
