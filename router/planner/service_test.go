package planner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/storage"
)

// fake implements the lease table, the fleet, the catalog, the agents and the observer
// of a Service.
type fake struct {
	mu      sync.Mutex
	row     *storage.Row
	calls   int
	down    bool
	models  []catalog.Model
	routers []string
	answer  *rpc.OrderResponse
	sent    []*rpc.OrderRequest
	ended   []Outcome
}

func (f *fake) Get(context.Context, string) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	switch {
	case f.down:
		return storage.Row{}, storage.ErrUnavailable
	case f.row == nil:
		return storage.Row{}, storage.ErrNotFound
	}
	return *f.row, nil
}

func (f *fake) Put(_ context.Context, key string, value []byte, _ storage.Revision) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return storage.Row{}, storage.ErrUnavailable
	}
	f.row = &storage.Row{Key: key, Value: value, Revision: storage.Revision(fmt.Sprint(f.calls))}
	return *f.row, nil
}

func (f *fake) Members(time.Time) []Member {
	return []Member{{Endpoint: engine("e1", "z1", 0, "x"), Address: "a1"}}
}

func (f *fake) SelectionCounts() map[string]uint64 { return nil }

func (f *fake) Routers() ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers, f.routers != nil
}

func (f *fake) Current() *catalog.Index { return catalog.NewIndex(&catalog.Catalog{Models: f.models}) }

func (f *fake) OrderEnded(o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, o)
}

func (f *fake) Order(_ context.Context, _ string, req *rpc.OrderRequest) (*rpc.OrderResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, req)
	if f.answer == nil {
		return nil, errors.New("no answer")
	}
	return f.answer, nil
}

// set changes the fake while the Service runs.
func (f *fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// wait lets virtual time pass until all goroutines are blocked. The fields of the fake
// can then be read without a lock.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// serve runs a Service named r1 on virtual time and calls test after 20 s.
func (f *fake) serve(t *testing.T, test func(*testing.T, *Service)) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(Options{
			Tuning: Tuning{Plan: PlanOptions{MinChange: time.Second}}, Name: "r1", Incarnation: "r1-x", Lease: "placement",
			Table: f, Fleet: f, Catalog: f, Sender: f, Observer: f,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		wait(20 * time.Second)
		test(t, s)
		cancel()
		<-done
	})
}

var oneModel = []catalog.Model{{Name: "c", MinEndpoints: 1}}

// Guards against a former holder of the lease that still sends orders, and against a
// repeated send that the agent does not recognise by its ID.
func TestOrderIsRepeatedOnlyWhileTheLeaseIsHeld(t *testing.T) {
	f := &fake{models: oneModel}
	f.serve(t, func(t *testing.T, s *Service) {
		sent := len(f.sent)
		if sent < 3 || !s.Held() {
			t.Fatalf("%d sends, held %t", sent, s.Held())
		}
		for _, req := range f.sent {
			if req.GetOrderId() != f.sent[0].GetOrderId() || req.GetFencingNumber() != 1 || req.GetLease() != "placement" {
				t.Fatalf("send %v after %v", req, f.sent[0])
			}
		}
		f.set(func() { f.down = true })
		wait(lease.TTL)
		sent = len(f.sent)
		wait(time.Minute)
		if len(f.sent) > sent || len(f.ended) != 1 || f.ended[0] != OrderNotHeld || s.Held() {
			t.Fatalf("%d sends after the lease had ended, outcomes %v", len(f.sent)-sent, f.ended)
		}
	})
}

// Guards against abandoning an order, or counting it as failed, while the agent is
// still executing it.
func TestOrderInExecutionIsAwaited(t *testing.T) {
	f := &fake{models: oneModel, answer: &rpc.OrderResponse{Code: uint32(resultcode.KeyInProgress)}}
	f.serve(t, func(t *testing.T, _ *Service) {
		if len(f.ended) > 0 {
			t.Fatalf("outcomes %v while the order is in execution", f.ended)
		}
		f.set(func() { f.answer = &rpc.OrderResponse{Done: true} })
		wait(3 * time.Second)
		if len(f.ended) != 1 || f.ended[0] != OrderDone || f.sent[0].GetOrderId() != f.sent[len(f.sent)-1].GetOrderId() {
			t.Fatalf("outcomes %v", f.ended)
		}
	})
}

// Guards against store reads by every router, and by any while the catalog has no
// models.
func TestWhoCompetes(t *testing.T) {
	cases := []struct {
		models  []catalog.Model
		routers []string
		want    bool
	}{
		{oneModel, nil, true},
		{oneModel, []string{"r0", "r00", "r1", "r2"}, true},
		{oneModel, []string{"r0", "r00", "r01", "r1"}, false},
		{oneModel, []string{}, false},
		{nil, nil, false},
	}
	for _, k := range cases {
		f := &fake{models: k.models, routers: k.routers}
		f.serve(t, func(t *testing.T, s *Service) {
			if s.Held() != k.want || f.calls > 0 != k.want {
				t.Errorf("routers %v, %d models: held %t, %d calls of the store", k.routers, len(k.models), s.Held(), f.calls)
			}
		})
	}
}

// Guards against a lease that a draining router, or one that is no longer among the
// first of the VM list, does not release, so that the next holder must wait for its
// expiry.
func TestLeaveGivesTheLeaseUp(t *testing.T) {
	f := &fake{models: oneModel}
	f.serve(t, func(t *testing.T, s *Service) {
		s.Leave(t.Context())
		synctest.Wait()
		r, err := lease.Decode(f.row.Value)
		if err != nil || r.Holder != "" || s.Held() {
			t.Fatalf("row %+v, %v", r, err)
		}
		calls := f.calls
		wait(time.Minute)
		if f.calls > calls {
			t.Fatal("still competing after leaving")
		}
	})
	f = &fake{models: oneModel}
	f.serve(t, func(t *testing.T, s *Service) {
		f.set(func() { f.routers = []string{"r0", "r00", "r01", "r1"} })
		wait(30 * time.Second)
		if r, err := lease.Decode(f.row.Value); err != nil || r.Holder != "" || s.Held() {
			t.Fatalf("row %+v, %v after leaving the first routers", r, err)
		}
	})
}
