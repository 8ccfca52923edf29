//go:build review2

package standins2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one attempt of a client, with its answer.
type attempt struct {
	id, gateway string
	sent, ended time.Time
	// status is zero if no answer came.
	status int
	body   string
	err    string
}

// clients send requests to gateways and record the answers.
type clients struct {
	site  *site
	mu    sync.Mutex
	all   []*attempt
	next  atomic.Int64
	links map[string]*http.Client
}

func newClients(s *site) *clients { return &clients{site: s, links: make(map[string]*http.Client)} }

// link returns the client that keeps connections to a gateway.
func (c *clients) link(g *gatewayProcess) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[g.name] == nil {
		c.links[g.name] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	}
	return c.links[g.name]
}

// send sends a request and returns its answer.
func (c *clients) send(g *gatewayProcess, host, path, key string, deadline time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+c.next.Add(1)), gateway: g.name}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers()+path, bytes.NewReader(make([]byte, 600)))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Attempt-Id", a.id)
	q.Header.Set("Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	if key != "" {
		q.Header.Set("X-Api-Key", key)
	}
	// A client retries with an attempt of its own, so the library must not repeat this one.
	q.GetBody = nil
	a.sent = time.Now()
	resp, err := c.link(g).Do(q)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body = resp.StatusCode, string(body)
	}
	a.ended = time.Now()
	if err != nil {
		a.err = err.Error()
	}
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

// load sends perSecond requests a second to each of the gateways until ctx ends.
func (c *clients) load(ctx context.Context, list []*gatewayProcess, perSecond int, host, path, key string, deadline time.Duration) *sync.WaitGroup {
	var wait sync.WaitGroup
	for _, g := range list {
		wait.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				wait.Go(func() { c.send(g, host, fmt.Sprintf("%s%d", path, n), key, deadline) })
			}
		})
	}
	return &wait
}

// attempts returns the attempts so far.
func (c *clients) attempts() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]attempt, 0, len(c.all))
	for _, a := range c.all {
		list = append(list, *a)
	}
	return list
}
