// Package routing holds the operators' configuration of a gateway as compiled,
// immutable tables: which service answers a host and path, under which class of
// service, and which client account an API key belongs to. A process adopts a
// version only when it is newer than the one in force.
package routing

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind states what may be repeated of a request.
type Kind int

// Kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests answer with a series of events and run at most once,
	// unless the route allows a resumption.
	Streaming
)

// Route is a profile: a class of service with the requests that it covers.
type Route struct {
	Name string
	// Host is the lower-case host name without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for the whole answer; zero means no limit.
	Timeout time.Duration
	// Target is the time to the whole answer, or to the first event of a stream.
	Target time.Duration
	// MaxPause is the longest pause between the events of a stream that meets
	// its target; zero means no target.
	MaxPause time.Duration
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Anonymous routes take requests without an API key.
	Anonymous bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Split lists the services that share the requests, by weight.
	Split []Share
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Pick draws the service of a request.
func (r *Route) Pick(rng *rand.Rand) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := rng.Float64() * total
	for _, s := range r.Split {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what an endpoint accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// MemoryTokens is the KV cache of one engine, in tokens.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// TokenBytes is the size of one token in the KV cache.
	TokenBytes int
	// LinkMbps is the bandwidth between engines in megabits a second.
	LinkMbps float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Rank, if not nil, takes precedence over the rank of the route.
	Rank *int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// Era is that of the store when it showed the Config: after the store came back
	// from an older copy, a version can be written again with another content.
	Era      uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
}

// Supersedes reports whether c takes the place of old. A lower version never does,
// whatever the era: it allows what was taken back, and is only the state of an older
// copy until the operators have written the later version again.
func (c *Config) Supersedes(old *Config) bool {
	return c.Version > old.Version || c.Version == old.Version && c.Era > old.Era
}

// Table is a compiled Config. It is immutable.
type Table struct {
	Config
	byHost   map[string][]*Route
	byKey    map[string]*Account
	services map[string]*Service
}

// Compile prepares a Config for lookups. The Config must not change afterwards.
func Compile(c Config) *Table {
	t := &Table{
		Config:   c,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Account),
		services: make(map[string]*Service),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		for _, key := range a.Keys {
			t.byKey[key] = a
		}
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds the key, or nil.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Anonymous }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// StrictestPauses returns the shortest MaxPause of the routes to each service; 0
// for services without one.
func (t *Table) StrictestPauses() map[string]time.Duration {
	pauses := make(map[string]time.Duration, len(t.Services))
	for i := range t.Services {
		pauses[t.Services[i].Name] = 0
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, share := range r.Split {
			old := pauses[share.Service]
			if r.MaxPause > 0 && (old == 0 || r.MaxPause < old) {
				pauses[share.Service] = r.MaxPause
			}
		}
	}
	return pauses
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
