package gate

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Table is the part of the table service that reads the lease's row; platform.Table
// implements it.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
}

// Executor executes an admitted order at the endpoint.
type Executor interface {
	Execute(ctx context.Context, o *rpc.OrderRequest) error
}

// Options configures the serving of orders. Table, Executor and Lease are required.
type Options struct {
	Table    Table
	Executor Executor
	// Lease is the name of the lease whose holder may send orders.
	Lease string
	// Timeout bounds the execution of one order; zero means 10 min, the time to
	// load a large model.
	Timeout time.Duration
}

const defaultOrderTimeout = 10 * time.Minute

// OrderServer serves the agent's order call: it executes the orders that its Gate
// admits. It is safe for concurrent use.
type OrderServer struct {
	opts Options

	mu   sync.Mutex
	gate *Gate
}

// NewOrderServer returns a server of orders that has not read the lease row yet; it does
// so when the first order arrives.
func NewOrderServer(o Options) *OrderServer {
	if o.Timeout == 0 {
		o.Timeout = defaultOrderTimeout
	}
	return &OrderServer{opts: o, gate: New()}
}

// Order executes an order once and answers repetitions with its first result. The
// execution continues when ctx ends, because the endpoint may already have begun.
func (s *OrderServer) Order(ctx context.Context, r *rpc.OrderRequest) (*rpc.OrderResponse, error) {
	if r.GetLease() != s.opts.Lease || r.GetOrderId() == "" {
		return s.newResponse(resultcode.New(resultcode.LeaseNotHeld, "order names lease %q and id %q", r.GetLease(), r.GetOrderId())), nil
	}
	digest, err := orderDigest(r)
	if err != nil {
		return nil, err
	}
	if err := s.readLease(ctx); err != nil {
		return s.newResponse(err), nil
	}
	s.mu.Lock()
	decision, result := s.gate.Begin(Order{ID: r.GetOrderId(), FencingNumber: r.GetFencingNumber(), Digest: digest})
	s.mu.Unlock()
	if decision != Execute {
		return s.newResponse(result.Err), nil
	}
	result.Err = s.execute(context.WithoutCancel(ctx), r)
	s.mu.Lock()
	s.gate.End(result)
	s.mu.Unlock()
	return s.newResponse(result.Err), nil
}

// HighestFencingNumber returns the highest fencing number seen.
func (s *OrderServer) HighestFencingNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.HighestFencingNumber()
}

func (s *OrderServer) execute(ctx context.Context, r *rpc.OrderRequest) *resultcode.Error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	err := s.opts.Executor.Execute(ctx, r)
	if err == nil {
		return nil
	}
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return coded
	}
	return resultcode.Wrap(resultcode.EndpointFailed, err, "order %s failed", r.GetOrderId()).WithExecution(resultcode.Unknown)
}

// readLease reads the lease row unless it has been read. Until that succeeds the
// highest fencing number is unknown, and orders are refused.
func (s *OrderServer) readLease(ctx context.Context) *resultcode.Error {
	s.mu.Lock()
	ready := s.gate.Ready()
	s.mu.Unlock()
	if ready {
		return nil
	}
	var record lease.Record
	row, err := s.opts.Table.Get(ctx, lease.RowKey(s.opts.Lease))
	if err == nil {
		record, err = lease.Decode(row.Value)
	}
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return resultcode.Wrap(resultcode.FencingNumberNotSet, err, "the lease row is not readable")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetLeaseNumber(record.Number)
	return nil
}

func (s *OrderServer) newResponse(e *resultcode.Error) *rpc.OrderResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &rpc.OrderResponse{Done: e == nil, HighestFencingNumber: s.gate.HighestFencingNumber()}
	if e != nil {
		resp.Code = uint32(e.Code)
		resp.Message = e.Error()
	}
	return resp
}

// orderDigest returns a hash of an order without its fencing number: a new holder
// may repeat an order of the previous one under its own number.
func orderDigest(r *rpc.OrderRequest) ([]byte, error) {
	c := proto.CloneOf(r)
	c.FencingNumber = 0
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	sum := sha256.Sum256(body)
	return sum[:], nil
}
