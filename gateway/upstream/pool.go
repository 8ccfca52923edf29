package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// keepAliveProbe finds connections that went silent within about 3 s.
	keepAliveProbe = time.Second
	keepAliveCount = 2
	// keepAliveMargin is subtracted from the idle time that an endpoint states.
	keepAliveMargin = time.Second
	// sweepEvery is how often idle connections are looked at for expiry.
	sweepEvery = time.Second
)

// Options configure a Pool. Zero values take the defaults.
type Options struct {
	// MaxIdlePerEndpoint is 32 by default.
	MaxIdlePerEndpoint int
	// MaxIdle is the age from which an idle connection is closed; 4 s by default.
	MaxIdle time.Duration
	// DialTimeout is 400 ms by default: a second SYN follows only after 1 s, and
	// another endpoint is a better use of that time.
	DialTimeout time.Duration
	// Dialed, if not nil, is called for each attempt to open a connection.
	Dialed func(address string, err error)
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[string][]*conn
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	if o.MaxIdlePerEndpoint <= 0 {
		o.MaxIdlePerEndpoint = 32
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = 4 * time.Second
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = 400 * time.Millisecond
	}
	if o.Dialed == nil {
		o.Dialed = func(string, error) {}
	}
	p := &Pool{options: o, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount,
		},
	}
	return p
}

func (p *Pool) take(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		fresh := maxIdle <= 0 || now.Sub(c.idleSince) < maxIdle
		if fresh && now.Before(c.usableUntil) {
			return c
		}
		c.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *Pool) put(c *conn, header http.Header) {
	c.used = true
	now := time.Now()
	c.idleSince = now
	c.usableUntil = now.Add(min(p.options.MaxIdle, statedIdle(header)))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.options.MaxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// statedIdle returns the time that the endpoint keeps an idle connection open,
// less a margin; a very long time when it states none.
func statedIdle(h http.Header) time.Duration {
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

// Sweep closes expired idle connections until ctx ends, then all of them.
func (p *Pool) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return true })
			return ctx.Err()
		case now := <-ticker.C:
			p.closeIdle(func(c *conn) bool { return !now.Before(c.usableUntil) })
		}
	}
}

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
