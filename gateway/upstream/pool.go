package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// keepAliveInterval and keepAliveCount configure the TCP keep-alive probes, so
	// that connections that went silent are detected within about 3 s.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// keepAliveMargin is subtracted from the timeout in an endpoint's Keep-Alive
	// header.
	keepAliveMargin = time.Second
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
)

// Options configure a Pool. Zero values stand for the defaults.
type Options struct {
	// MaxIdlePerEndpoint bounds the idle connections to one address; 32 by default.
	MaxIdlePerEndpoint int
	// IdleTimeout is the time after which an idle connection is closed; 4 s by
	// default.
	IdleTimeout time.Duration
	// DialTimeout bounds the time for opening a connection; 400 ms by default. The
	// second SYN is sent only after 1 s, and in that time another endpoint can be
	// tried.
	DialTimeout time.Duration
	// OnDial is called after each attempt to open a connection, unless it is nil.
	OnDial func(address string, err error)
	// OnConnected is called with the time that it took to open a connection, unless it is
	// nil.
	OnConnected func(address string, took time.Duration)
}

// Pool sends requests and keeps idle connections by address. It is safe for
// concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[string][]*conn
	// witnesses are the open connections by address that lead to a known process, at most
	// maxWitnesses each.
	witnessMu sync.Mutex
	witnesses map[string][]*witness
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	if o.MaxIdlePerEndpoint <= 0 {
		o.MaxIdlePerEndpoint = 32
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 4 * time.Second
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = 400 * time.Millisecond
	}
	if o.OnDial == nil {
		o.OnDial = func(string, error) {}
	}
	if o.OnConnected == nil {
		o.OnConnected = func(string, time.Duration) {}
	}
	p := &Pool{options: o, idle: make(map[string][]*conn), witnesses: make(map[string][]*witness)}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return p
}

// take removes and returns a connection that was idle for less than maxIdle (zero means any
// time), or closes all and returns nil if there is none. Of those whose process is stated, or
// is not, it prefers the one that became idle last, so that connections to known processes are
// left to the requests that need them.
func (p *Pool) take(address string, maxIdle time.Duration, stated bool) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	found := -1
	for i, c := range slices.Backward(list) {
		fresh := maxIdle <= 0 || now.Sub(c.idleSince) < maxIdle
		if !fresh || !now.Before(c.usableUntil) {
			continue
		}
		preferred := (c.process.State == ProcessStated || c.proof != Identity{}) == stated
		if found < 0 || preferred {
			found = i
		}
		if preferred {
			break
		}
	}
	if found < 0 {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
		return nil
	}
	c := list[found]
	p.idle[address] = slices.Delete(list, found, found+1)
	return c
}

// put adds a connection after a response with the given header, or closes it if
// the pool has enough for its address.
func (p *Pool) put(c *conn, header http.Header) {
	c.hadRequest = true
	now := time.Now()
	c.idleSince = now
	c.usableUntil = now.Add(min(p.options.IdleTimeout, keepAliveTimeout(header)))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.options.MaxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// keepAliveTimeout returns the time that the endpoint keeps an idle connection
// open, as its Keep-Alive header states, less keepAliveMargin. It is one hour, in
// effect no limit, if the header states none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return time.Hour
}

// Sweep closes expired idle connections until ctx ends, then all idle ones.
func (p *Pool) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return true })
			return ctx.Err()
		case now := <-ticker.C:
			p.closeIdle(func(c *conn) bool { return !now.Before(c.usableUntil) })
			p.sweepWitnesses()
		}
	}
}

// closeIdle closes the idle connections for which expired returns true.
func (p *Pool) closeIdle(expired func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if expired(c) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
