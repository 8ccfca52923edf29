// Package loadgen generates open-loop load on the API for callers and verifies
// every answer. Requests are sent at the times of a seeded schedule, however slow
// the answers are, and latencies are measured from the scheduled time, so that
// overload is not hidden. Traffic goes to loopback addresses only and is bounded in
// count and time.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/catalog"
)

const (
	// Defaults and limits of Options.
	DefaultMaxRequests = 100_000
	DefaultMaxOpen     = 4096
	DefaultTimeout     = 2 * time.Minute
	MaxDuration        = time.Hour

	defaultPath         = "/v1/chat/completions"
	idleConnsPerAddress = 1024
)

// Options configures one run.
type Options struct {
	// Addresses are base URLs of routers, such as http://127.0.0.1:8080. Each
	// request goes to one of them at random. Hosts must be loopback addresses.
	Addresses []string
	// Client sends the requests; nil means a client without a proxy. It should not
	// follow redirects or keep cookies.
	Client *http.Client
	// Seed determines the schedule, the bodies, the keys and the addresses.
	Seed uint64
	// Duration is the time during which requests are sent, at most MaxDuration.
	// Required.
	Duration time.Duration
	// MaxRequests ends the run earlier; zero means DefaultMaxRequests.
	MaxRequests int
	// MaxOpen limits the requests in progress. A request that is due while MaxOpen
	// are in progress is counted as not sent. Zero means DefaultMaxOpen.
	MaxOpen int
	// Timeout limits one request; zero means DefaultTimeout.
	Timeout time.Duration
	// Classes is the mix of requests. Required.
	Classes []Class
	// OnResult is called after each request, one call at a time; it may be nil.
	OnResult func(Result)
}

// Class is one kind of request in the mix.
type Class struct {
	// Name is unique in the mix.
	Name string
	// Profile is sent in X-Pistachiowind-Profile; empty sends no header.
	Profile string
	// APIKeys are the API keys of the class. Each request uses one, chosen at random
	// by weight.
	APIKeys []APIKey
	Rate    Rate
	// Method and Path default to POST and /v1/chat/completions.
	Method, Path string
	// Streamed is passed to Body and states that the answer is an event stream.
	Streamed bool
	// IdempotencyKey sends a unique Idempotency-Key with each request.
	IdempotencyKey bool
	// Body generates a request body. Required.
	Body func(r *rand.Rand, streamed bool) []byte
	// Verify checks the body of an answer with a status below 300 that is not
	// streamed. If it is nil, chat completions are compared with
	// standin.ExpectedAnswer, and the answers of other paths are not checked.
	// Streams are always compared with standin.ExpectedAnswer.
	Verify func(sent Sent, answer []byte) error
	// Target must be met by a request that counts as attained. Zero fields are not
	// checked.
	Target catalog.Target
}

// APIKey is an API key and its share of the requests.
type APIKey struct {
	Value string
	// Weight is relative to the other keys; zero means 1.
	Weight int
}

// Sent describes a request that was sent.
type Sent struct {
	Class          string
	IdempotencyKey string
	APIKey         string
	Body           []byte
}

func (o *Options) setDefaults() error {
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return fmt.Errorf("loadgen: duration %v is not within 0 and %v", o.Duration, MaxDuration)
	}
	if len(o.Addresses) == 0 || len(o.Classes) == 0 {
		return errors.New("loadgen: at least one address and one class are required")
	}
	for _, address := range o.Addresses {
		if err := checkLoopback(address); err != nil {
			return err
		}
	}
	names := make(map[string]bool)
	for i, c := range o.Classes {
		if c.Body == nil || c.Name == "" || names[c.Name] {
			return fmt.Errorf("loadgen: class %d has no body or no unique name", i)
		}
		names[c.Name] = true
		if err := c.Rate.validate(); err != nil {
			return fmt.Errorf("loadgen: class %s: %w", c.Name, err)
		}
	}
	if o.MaxRequests <= 0 {
		o.MaxRequests = DefaultMaxRequests
	}
	if o.MaxOpen <= 0 {
		o.MaxOpen = DefaultMaxOpen
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return nil
}

// checkLoopback rejects addresses of other machines, so that a load test does not
// reach them.
func checkLoopback(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return fmt.Errorf("loadgen: address: %w", err)
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("loadgen: %s is not a loopback address", address)
	}
	return nil
}

// newClient returns a client that follows no redirects, so that each answer is the
// router's own.
func newClient() *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnsPerAddress,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run is the state of one call of Run.
type run struct {
	opts      Options
	client    *http.Client
	startedAt time.Time
	// openSlots holds one element for each request in progress.
	openSlots chan struct{}
	inFlight  sync.WaitGroup

	mu     sync.Mutex
	report *Report
}

// Run sends the load and returns when every request has ended. When ctx is done,
// no more requests are sent, those in progress are cancelled and counted as
// incomplete, and the report so far is returned without an error.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	r := &run{
		opts:      opts,
		client:    opts.Client,
		openSlots: make(chan struct{}, opts.MaxOpen),
		report:    newReport(opts.Classes),
		startedAt: time.Now(),
	}
	if r.client == nil {
		r.client = newClient()
		defer r.client.CloseIdleConnections()
	}
	r.sendAll(ctx)
	r.inFlight.Wait()
	r.report.Elapsed = time.Since(r.startedAt)
	return r.report, nil
}

// classSource generates the requests of one class.
type classSource struct {
	class    *Class
	index    int
	rng      *rand.Rand
	arrivals *poissonArrivals
	nextAt   time.Duration
	drawn    int
}

func (r *run) newSources() []*classSource {
	list := make([]*classSource, len(r.opts.Classes))
	for i := range r.opts.Classes {
		class := &r.opts.Classes[i]
		rnd := rand.New(rand.NewPCG(r.opts.Seed, xxhash.Sum64String(class.Name)))
		s := &classSource{class: class, index: i, rng: rnd}
		s.arrivals = newPoissonArrivals(class.Rate, rand.New(rand.NewPCG(rnd.Uint64(), 1)))
		s.nextAt = s.arrivals.next(r.opts.Duration)
		list[i] = s
	}
	return list
}

// sendAll starts the requests of all classes in order of their scheduled time.
func (r *run) sendAll(ctx context.Context) {
	sources := r.newSources()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for range r.opts.MaxRequests {
		s := earliest(sources)
		if s.nextAt >= r.opts.Duration {
			return
		}
		timer.Reset(time.Until(r.startedAt.Add(s.nextAt)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		r.startRequest(ctx, s)
		s.nextAt = s.arrivals.next(r.opts.Duration)
	}
}

func earliest(sources []*classSource) *classSource {
	first := sources[0]
	for _, s := range sources[1:] {
		if s.nextAt < first.nextAt {
			first = s
		}
	}
	return first
}

// startRequest sends the next request of s in its own goroutine, or counts it as
// not sent if MaxOpen requests are in progress.
func (r *run) startRequest(ctx context.Context, s *classSource) {
	q := s.newRequest(&r.opts)
	q.scheduled = r.startedAt.Add(s.nextAt)
	select {
	case r.openSlots <- struct{}{}:
	default:
		r.recordNotSent(s.index)
		return
	}
	r.inFlight.Go(func() {
		defer func() { <-r.openSlots }()
		ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
		defer cancel()
		r.record(s.index, q.do(ctx, r.client))
	})
}

func (r *run) recordNotSent(class int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Classes[class].NotSent++
}

func (r *run) record(class int, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Classes[class].add(result)
	if r.opts.OnResult != nil {
		r.opts.OnResult(result)
	}
}
