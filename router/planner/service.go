package planner

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// maxCandidates is the number of routers that compete for the lease. It bounds
	// the reads of the lease row in the store, for example in a site of 410 routers.
	maxCandidates = 3

	// releaseTimeout bounds the wait for the release of the lease.
	releaseTimeout = 3 * time.Second

	// requestDecay is the factor by which the request counts decay at each step, with
	// a time constant of about 10 steps.
	requestDecay = 0.9
)

// Tuning adjusts a Service. Zero values take the defaults.
type Tuning struct {
	Plan PlanOptions
	// Interval is the time between two steps of the Planner; 5 s by default.
	Interval time.Duration
	// Retry is the interval at which an order without an answer is sent again; 2 s by
	// default.
	Retry time.Duration
	// OrderTimeout bounds the time for which one order is sent again; 11 min by
	// default, a little more than the timeout of an agent for its endpoint.
	OrderTimeout time.Duration
}

func (t Tuning) withDefaults() Tuning {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&t.Interval, 5*time.Second)
	set(&t.Retry, 2*time.Second)
	set(&t.OrderTimeout, 11*time.Minute)
	return t
}

// Member is an endpoint with the address of its agent.
type Member struct {
	Endpoint
	Address string
}

// Fleet is the router's knowledge of the site.
type Fleet interface {
	Members(now time.Time) []Member
	// SelectionCounts returns how often an endpoint was selected for an attempt, by
	// model. The counts may be reset.
	SelectionCounts() map[string]uint64
	// Routers returns the sorted names of the live routers; false without a VM list.
	Routers() ([]string, bool)
}

// Catalog provides the catalog in force; Current returns nil before the first one.
type Catalog interface {
	Current() *catalog.Index
}

// Sender sends an order to the agent at an address.
type Sender interface {
	Order(ctx context.Context, address string, req *rpc.OrderRequest) (*rpc.OrderResponse, error)
}

// Observer is notified of the end of each order, for metrics. Its method must not
// block.
type Observer interface {
	OrderEnded(Outcome)
}

// Options configure a Service. All fields but Tuning are required.
type Options struct {
	Tuning
	// Name is the name of this router in the VM list, Incarnation identifies the
	// process.
	Name        string
	Incarnation string
	// Lease is the name of the lease.
	Lease    string
	Table    lease.Table
	Fleet    Fleet
	Catalog  Catalog
	Sender   Sender
	Observer Observer
}

// Service competes for the lease, and while it holds the lease it runs a Planner and
// sends its orders. It is safe for concurrent use.
type Service struct {
	options Options
	// background counts the goroutines that send orders or compete for the lease.
	background sync.WaitGroup

	mu            sync.Mutex
	planner       *Planner
	fencingNumber uint64
	leaving       bool
	electorSeq    int
	elector       *lease.Elector
	// cancelElector stops the elector.
	cancelElector context.CancelFunc
	lastCounts    map[string]uint64
	requests      map[string]float64
}

// NewService returns a Service that is idle until Serve is called.
func NewService(o Options) *Service {
	o.Tuning = o.withDefaults()
	return &Service{options: o, planner: New(o.Plan), requests: map[string]float64{}}
}

// String names the service in the supervisor's reports.
func (s *Service) String() string { return "placement" }

// Serve performs a step at each interval until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.background.Wait()
	defer cancel()
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		s.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Held reports whether this process holds the lease.
func (s *Service) Held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.elector == nil {
		return false
	}
	_, held := s.elector.Held()
	return held
}

// Leave stops competing permanently and waits until the lease is released, at most
// 3 s. Serve must still be running.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	e := s.elector
	s.mu.Unlock()
	if e == nil {
		return
	}
	e.Resign()
	awaitRelease(ctx, e)
}

func awaitRelease(ctx context.Context, e *lease.Elector) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !e.Resigned() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step takes part in the competition for the lease, and while this router holds it,
// sends the orders of one Planner step.
func (s *Service) step(ctx context.Context, now time.Time) {
	models := s.models()
	s.updateRequests()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(models) == 0 || s.leaving || !s.mayCompete() {
		s.stopCompeting(ctx)
		return
	}
	s.compete(ctx)
	number, held := s.elector.Held()
	if !held {
		return
	}
	if number != s.fencingNumber {
		s.fencingNumber = number
		s.planner.Begin(now, number)
	}
	in := Input{Models: models, Requests: s.requests}
	for _, m := range s.options.Fleet.Members(now) {
		in.Endpoints = append(in.Endpoints, m.Endpoint)
	}
	for _, o := range s.planner.Step(now, in) {
		d := delivery{service: s, elector: s.elector, fencingNumber: number, order: o}
		s.background.Go(func() { d.run(ctx) })
	}
}

func (s *Service) models() []catalog.Model {
	index := s.options.Catalog.Current()
	if index == nil {
		return nil
	}
	return index.Catalog().Models
}

// updateRequests lets the request counts decay and adds the requests since the last
// step.
func (s *Service) updateRequests() {
	counts := s.options.Fleet.SelectionCounts()
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := map[string]float64{}
	for model, n := range counts {
		requests[model] = s.requests[model] * requestDecay
		// The fleet resets its counts when there are too many models, so a count may be
		// lower than the one before.
		if before := s.lastCounts[model]; n >= before {
			requests[model] += float64(n - before)
		}
	}
	s.lastCounts, s.requests = counts, requests
}

// mayCompete reports whether this router is among the first maxCandidates live
// routers by name, or there is no VM list.
func (s *Service) mayCompete() bool {
	names, listed := s.options.Fleet.Routers()
	if !listed {
		return true
	}
	return slices.Contains(names[:min(len(names), maxCandidates)], s.options.Name)
}

// compete starts an elector if none is running. Each has a different identity, so
// that a late release by an earlier one cannot end the lease of the next.
func (s *Service) compete(ctx context.Context) {
	if s.elector != nil {
		return
	}
	s.electorSeq++
	e := lease.NewElector(lease.Options{
		Table: s.options.Table,
		Name:  s.options.Lease,
		Self:  s.options.Incarnation + "/" + strconv.Itoa(s.electorSeq),
	})
	ctx, s.cancelElector = context.WithCancel(ctx)
	s.elector = e
	s.background.Go(func() { _ = e.Serve(ctx) })
}

// stopCompeting releases the lease. The elector stops once the lease row is free, or
// after releaseTimeout.
func (s *Service) stopCompeting(ctx context.Context) {
	if s.elector == nil || s.leaving {
		return
	}
	e, cancel := s.elector, s.cancelElector
	s.elector, s.cancelElector = nil, nil
	e.Resign()
	s.background.Go(func() {
		defer cancel()
		awaitRelease(ctx, e)
	})
}
