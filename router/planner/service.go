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
	// competitors is the number of routers that read the lease row; at 410 routers
	// it bounds the reads of the store.
	competitors = 3

	// leaveTimeout bounds the release of the lease.
	leaveTimeout = 3 * time.Second

	// requestsKept is the part of the request counts that is kept from one step to
	// the next: a time constant of about 10 steps.
	requestsKept = 0.9
)

// Tuning adjusts a Service. Zero values take the defaults.
type Tuning struct {
	Plan PlanOptions
	// Interval is the time between two steps of the plan; 5 s by default.
	Interval time.Duration
	// Retry is the time until an order without an answer is sent again; 2 s by
	// default.
	Retry time.Duration
	// OrderTimeout bounds the sends of one order; 11 min by default, a little more
	// than an agent gives its endpoint.
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

// Fleet is what the router knows of the site.
type Fleet interface {
	Members(now time.Time) []Member
	// Chosen counts the requests sent so far by model.
	Chosen() map[string]uint64
	// Routers lists the live routers; false without a VM list.
	Routers() ([]string, bool)
}

// Catalog is the catalog in force, nil before the first one.
type Catalog interface {
	Current() *catalog.Index
}

// Sender sends an order to the agent at an address.
type Sender interface {
	Order(ctx context.Context, address string, req *rpc.OrderRequest) (*rpc.OrderResponse, error)
}

// Observer is told of the end of each order, for metrics. Its method must not
// block.
type Observer interface {
	OrderEnded(Outcome)
}

// Options configure a Service. All fields but Tuning are required.
type Options struct {
	Tuning
	// Name of this router in the VM list; Incarnation of this process.
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

// Service competes for the lease and carries out the plan while it holds it. It
// is safe for concurrent use.
type Service struct {
	o Options
	// open waits for the senders and the competitors.
	open sync.WaitGroup

	mu         sync.Mutex
	planner    *Planner
	number     uint64
	leaving    bool
	term       int
	competitor *lease.Competitor
	// end stops the competitor.
	end      context.CancelFunc
	chosen   map[string]uint64
	requests map[string]float64
}

// NewService returns a Service that is idle until Serve is called.
func NewService(o Options) *Service {
	o.Tuning = o.withDefaults()
	return &Service{o: o, planner: New(o.Plan), requests: map[string]float64{}}
}

// String names the service in the supervisor's reports.
func (s *Service) String() string { return "placement" }

// Serve makes a step at each interval until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.open.Wait()
	defer cancel()
	ticker := time.NewTicker(s.o.Interval)
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
	if s.competitor == nil {
		return false
	}
	_, held := s.competitor.Held()
	return held
}

// Leave stops competing for good and waits until the lease is given up, at most
// 3 s. Serve must still run.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	c := s.competitor
	s.mu.Unlock()
	if c == nil {
		return
	}
	c.Leave()
	awaitLeft(ctx, c)
}

func awaitLeft(ctx context.Context, c *lease.Competitor) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !c.Left() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) step(ctx context.Context, now time.Time) {
	models := s.models()
	s.count()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(models) == 0 || s.leaving || !s.chosenToCompete() {
		s.stopCompeting(ctx)
		return
	}
	s.compete(ctx)
	number, held := s.competitor.Held()
	if !held {
		return
	}
	if number != s.number {
		s.number = number
		s.planner.Begin(now, number)
	}
	in := Input{Models: models, Requests: s.requests}
	for _, m := range s.o.Fleet.Members(now) {
		in.Endpoints = append(in.Endpoints, m.Endpoint)
	}
	for _, o := range s.planner.Step(now, in) {
		d := delivery{service: s, competitor: s.competitor, number: number, order: o}
		s.open.Go(func() { d.run(ctx) })
	}
}

func (s *Service) models() []catalog.Model {
	index := s.o.Catalog.Current()
	if index == nil {
		return nil
	}
	return index.Catalog().Models
}

// count adds the requests since the last step.
func (s *Service) count() {
	chosen := s.o.Fleet.Chosen()
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := map[string]float64{}
	for model, n := range chosen {
		// The counts start again at their bound.
		requests[model] = s.requests[model] * requestsKept
		if before := s.chosen[model]; n >= before {
			requests[model] += float64(n - before)
		}
	}
	s.chosen, s.requests = chosen, requests
}

// chosenToCompete reports whether this router is one of the first live routers.
func (s *Service) chosenToCompete() bool {
	names, listed := s.o.Fleet.Routers()
	if !listed {
		return true
	}
	return slices.Contains(names[:min(len(names), competitors)], s.o.Name)
}

// compete starts a competitor if none runs. Each one has a name of its own, so
// that a late release by an earlier one cannot end the lease of the next.
func (s *Service) compete(ctx context.Context) {
	if s.competitor != nil {
		return
	}
	s.term++
	c := lease.NewCompetitor(lease.Options{
		Table: s.o.Table,
		Name:  s.o.Lease,
		Self:  s.o.Incarnation + "/" + strconv.Itoa(s.term),
	})
	ctx, s.end = context.WithCancel(ctx)
	s.competitor = c
	s.open.Go(func() { _ = c.Serve(ctx) })
}

// stopCompeting leaves the lease. The competitor ends once the row is free.
func (s *Service) stopCompeting(ctx context.Context) {
	if s.competitor == nil || s.leaving {
		return
	}
	c, end := s.competitor, s.end
	s.competitor, s.end = nil, nil
	c.Leave()
	s.open.Go(func() {
		defer end()
		awaitLeft(ctx, c)
	})
}
