package router

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/router/fleet"
	"github.com/pistachiowind/pistachiowind/router/planner"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

func (r *Router) newPlacement() *planner.Service {
	s := planner.NewService(planner.Options{
		Tuning:      r.opts.Placement,
		Name:        r.opts.Name,
		Incarnation: r.incarnation,
		Lease:       lease.Placement,
		Table:       r.opts.Table,
		Fleet:       placementFleet{r.fleet},
		Catalog:     r.catalog,
		Sender:      orderSender{r.client},
		Observer:    &placementMetrics{metrics: r.metrics},
	})
	r.metrics.LeaseHeld.Observe(func(set func(float64, telemetry.NoLabels)) {
		held := 0.0
		if s.Held() {
			held = 1
		}
		set(held, telemetry.NoLabels{})
	})
	return s
}

// placementFleet adapts the fleet to planner.Fleet.
type placementFleet struct {
	*fleet.Fleet
}

// Members implements planner.Fleet. An ejected endpoint does not count as
// serving.
func (f placementFleet) Members(now time.Time) []planner.Member {
	var members []planner.Member
	for _, e := range f.Engines(now) {
		c := &e.Candidate
		members = append(members, planner.Member{
			Address: e.Address,
			Endpoint: planner.Endpoint{
				Name:             c.ID,
				AvailabilityZone: c.Region + "/" + c.AvailabilityZone,
				Serving:          c.State == rpc.AgentState_AGENT_STATE_SERVING && !c.Health.Ejected,
				Models:           c.Models,
				Load:             c.Load,
			},
		})
	}
	return members
}

// orderSender sends placement orders to agents as unary calls. It implements
// planner.Sender.
type orderSender struct {
	client *dispatch.Client
}

// Order sends an order to the agent at the address.
func (s orderSender) Order(ctx context.Context, address string, req *rpc.OrderRequest) (*rpc.OrderResponse, error) {
	return rpc.NewAgentProtobufClient(s.client.URL(address), s.client.HTTPClient()).Order(ctx, req)
}

// placementMetrics counts placement orders. It implements planner.Observer.
type placementMetrics struct {
	metrics *telemetry.Router
}

// OrderEnded counts an order by its outcome.
func (m *placementMetrics) OrderEnded(o planner.Outcome) {
	m.metrics.PlacementOrders.Add(1, telemetry.ResultLabels{Outcome: string(o)})
}
