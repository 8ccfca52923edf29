package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/storage"
)

// fakeEndpoint is the table and the executor that a test passes in Options.
type fakeEndpoint struct {
	number   uint64
	readErr  error
	fail     error
	executed []string
	// during runs in the middle of an execution.
	during func()
}

func (f *fakeEndpoint) Get(context.Context, string) (storage.Row, error) {
	value, err := json.Marshal(lease.Record{Format: 1, Holder: "h", Number: f.number})
	if err != nil {
		return storage.Row{}, err
	}
	return storage.Row{Value: value}, f.readErr
}

func (f *fakeEndpoint) Execute(_ context.Context, o *rpc.OrderRequest) error {
	f.executed = append(f.executed, fmt.Sprint(o.GetOrderId(), "/", o.GetFencingNumber()))
	if f.during != nil {
		f.during()
	}
	return f.fail
}

func order(id string, number uint64, role string) *rpc.OrderRequest {
	return &rpc.OrderRequest{
		Lease: "placement", FencingNumber: number, OrderId: id,
		Order: &rpc.OrderRequest_ChangeRole{ChangeRole: &rpc.ChangeRole{Role: role}},
	}
}

func send(t *testing.T, s *OrderServer, o *rpc.OrderRequest, want resultcode.Code) {
	t.Helper()
	resp, err := s.Order(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if resp.GetCode() != uint32(want) || resp.GetDone() != (want == 0) {
		t.Fatalf("order %s: %v, want code %d", o.GetOrderId(), resp, want)
	}
}

// Guards against executing orders of a former lease holder, executing an order
// twice, and admitting orders before the agent knows the fencing number.
func TestOrderServer(t *testing.T) {
	f := &fakeEndpoint{number: 5, readErr: storage.ErrUnavailable}
	s := NewOrderServer(Options{Table: f, Executor: f, Lease: "placement"})
	send(t, s, order("a", 5, "x"), resultcode.FencingNumberNotSet)
	f.readErr = nil
	send(t, s, order("a", 4, "x"), resultcode.FencingNumberOld)
	send(t, s, order("a", 5, "x"), 0)
	send(t, s, order("a", 5, "x"), 0)
	send(t, s, order("a", 6, "x"), 0)
	send(t, s, order("b", 5, "x"), resultcode.FencingNumberOld)
	send(t, s, order("a", 6, "y"), resultcode.IdempotencyKeyReused)
	f.during = func() {
		f.during = nil
		send(t, s, order("d", 7, "x"), resultcode.KeyInProgress)
	}
	send(t, s, order("c", 6, "x"), 0)
	f.fail = errors.New("endpoint broke")
	send(t, s, order("e", 7, "x"), resultcode.EndpointFailed)
	send(t, s, order("e", 7, "x"), resultcode.EndpointFailed)
	foreign := order("f", 9, "x")
	foreign.Lease = "other"
	send(t, s, foreign, resultcode.LeaseNotHeld)
	if got := fmt.Sprint(f.executed); got != "[a/5 c/6 e/7]" {
		t.Fatalf("executed %s", got)
	}
}

// Guards against remembering ended orders without bound.
func TestEndedOrdersAreBounded(t *testing.T) {
	g := New()
	g.SetLeaseNumber(0)
	for i := range MaxEndedOrders + 10 {
		if v, _ := g.Begin(Order{ID: fmt.Sprint(i), FencingNumber: 1}); v != Execute {
			t.Fatalf("order %d: decision %d", i, v)
		}
		g.End(Result{})
	}
	if g.endedOrders.Len() != MaxEndedOrders {
		t.Fatalf("%d orders remembered", g.endedOrders.Len())
	}
}
