// Package routing holds the operators' configuration of a gateway in compiled, immutable
// tables: which service answers requests for a host and path, with which class of
// service, and which client account an API key belongs to. A process adopts a
// configuration only if it supersedes the one in force.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kind states whether a request may run more than once and how it is answered.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a series of events and run at most once,
	// unless the route is resumable.
	Streaming
)

// Route is a profile: a class of service and the host and path prefix of the requests
// that it applies to.
type Route struct {
	Name string
	// Host is the lower-case host name without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time to the end of the response; zero means no limit.
	Timeout time.Duration
	// Target is the latency target: the time to the whole response, or to the first event
	// of a stream; zero means none.
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
	// Resumable streams may be continued at another endpoint after a failure.
	Resumable bool
	// Split lists the services among which the requests are divided by weight.
	Split []Share
}

// Share is the weight of a service in a route's split.
type Share struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Pick returns a service for a request according to the weights; at is a random number from
// 0 to below 1.
func (r *Route) Pick(at float64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	point := at * total
	for _, s := range r.Split {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts from all
	// callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at the same time.
	Slots int
	// MemoryTokens is the size of one engine's KV cache in tokens.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// TokenBytes is the size of one token in the KV cache, in bytes.
	TokenBytes int
	// LinkMbps is the network bandwidth between engines in megabits per second.
	LinkMbps float64
}

// Limits bound what a caller may send, in bytes and time. Where a field is zero, only
// the gateway's own limits apply.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the API keys of the account.
	Keys []string
	// Rank, if not nil, takes precedence over the rank of the route.
	Rank *int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// Era is the era of the store from which the Config was read. The era increases when
	// the store is restored from an older copy; after that, the same version can be
	// written again with different content.
	Era      uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
}

// Supersedes reports whether c replaces old. A lower version never does, whatever its
// era: it may allow what the operators have since revoked, and comes only from an older
// copy of the store to which they have not yet written the later version again.
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

// Compile builds the lookup tables for a Config, which must not change afterwards.
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

// Route returns the route of the host whose prefix is the longest match for the path, or
// nil. A port in host is ignored.
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

// NeedsKey reports whether requests of the route must carry an API key. None must while
// no client accounts are configured.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Anonymous }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ResumableTimeouts returns, by service, the longest timeout of the routes with streams that
// may be resumed. Services without such a route are left out.
func (t *Table) ResumableTimeouts() map[string]time.Duration {
	timeouts := make(map[string]time.Duration)
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.Resumable {
			continue
		}
		for _, share := range r.Split {
			timeouts[share.Service] = max(timeouts[share.Service], r.Timeout)
		}
	}
	return timeouts
}

// StrictestPauses returns, by service, the shortest MaxPause of the routes that lead to
// it; 0 if none has one.
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

// hostName returns the lower-case host name without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
