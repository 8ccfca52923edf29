package sessions

import (
	"bytes"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/gate"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

// leaseSession runs two processes that compete for the placement lease and the agent's
// check of orders in front of an engine that ignores fencing numbers. The time is
// set by the test.
type leaseSession struct {
	t           *testing.T
	began       time.Time
	now         time.Time
	table       *platform.Table
	orderServer *gate.OrderServer
	engine      *standin.Engine
	transcript  bytes.Buffer
}

func newLeaseSession(t *testing.T) *leaseSession {
	rows := standin.NewTable(standin.TableOptions{})
	engine := standin.NewEngine(standin.EngineOptions{OrderDuration: time.Millisecond})
	t.Cleanup(engine.Close)
	tableServer, engineServer := httptest.NewServer(rows), httptest.NewServer(engine)
	t.Cleanup(tableServer.Close)
	t.Cleanup(engineServer.Close)
	table := platform.NewTable(storage.Options{URL: tableServer.URL})
	began := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	return &leaseSession{
		t: t, began: began, now: began, table: table, engine: engine,
		orderServer: gate.NewOrderServer(gate.Options{Table: table, Executor: endpoint.NewEngine(engineServer.URL), Lease: lease.Placement}),
	}
}

func (s *leaseSession) print(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%5s  %s\n", s.now.Sub(s.began), fmt.Sprintf(format, args...))
}

// step performs the table calls that are due for the lease now.
func (s *leaseSession) step(name string, e *lease.Election) {
	s.t.Helper()
	for {
		a, ok := e.Next(s.now)
		if !ok {
			return
		}
		var row storage.Row
		var err error
		key := lease.RowKey(lease.Placement)
		if a.Write {
			row, err = s.table.Put(s.t.Context(), key, a.Value, a.Expected)
			s.print("%s writes %s: %s", name, a.Value, result(err))
		} else {
			row, err = s.table.Get(s.t.Context(), key)
			s.print("%s reads %s: %s", name, row.Value, result(err))
		}
		e.HandleResult(s.now, a, row, err)
	}
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, storage.ErrNotFound):
		return "no row"
	case errors.Is(err, storage.ErrConflict):
		return "another revision"
	}
	return err.Error()
}

func (s *leaseSession) printHeld(name string, e *lease.Election) uint64 {
	number, ok := e.Held(s.now)
	s.print("%s holds the lease: %v, number %d", name, ok, number)
	return number
}

func (s *leaseSession) sendOrder(name, model string, number uint64) {
	s.t.Helper()
	resp, err := s.orderServer.Order(s.t.Context(), &rpc.OrderRequest{
		Lease: lease.Placement, FencingNumber: number, OrderId: name + "-" + model,
		Order: &rpc.OrderRequest_LoadModel{LoadModel: &rpc.LoadModel{Model: model}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.print("order of %s, number %d, load %s: done %v, code %d", name, number, model, resp.GetDone(), resp.GetCode())
}

func TestLeaseLapsesWhilePaused(t *testing.T) {
	s := newLeaseSession(t)
	s.transcript.WriteString("Guards against orders of a paused process whose lease lapsed, at an engine that ignores fencing numbers.\n\n")
	a, b := lease.NewElection("router-a"), lease.NewElection("router-b")
	s.step("router-a", a)
	s.step("router-b", b)
	s.sendOrder("router-a", "first", s.printHeld("router-a", a))
	late := s.printHeld("router-a", a)
	s.print("router-a is paused before it sends its next order")
	for s.now.Sub(s.began) < lease.TTL+lease.ClockDriftMargin {
		s.now = s.now.Add(time.Second)
		s.step("router-b", b)
	}
	s.sendOrder("router-b", "second", s.printHeld("router-b", b))
	s.print("router-a goes on; its order arrives late")
	s.sendOrder("router-a", "third", late)
	s.printHeld("router-a", a)
	s.step("router-a", a)
	s.printHeld("router-a", a)
	s.transcript.WriteString("\n== orders that the engine executed\n")
	for _, o := range s.engine.Orders() {
		fmt.Fprintf(&s.transcript, "%s %s, fencing number %d\n", o.Path, o.Body, o.FencingNumber)
	}
	fmt.Fprintf(&s.transcript, "models: %v\n", s.engine.Models())
	goldie.New(t).Assert(t, "leaselapseswhilepaused", s.transcript.Bytes())
}
