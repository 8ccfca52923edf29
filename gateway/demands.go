package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// addDemands adds the demands of client accounts to a statement.
func (d *dispatcher) addDemands(now time.Time, s *wire.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.gate.ReportDemands(now) {
		s.Demands = append(s.Demands, &wire.Demand{
			Service:   x.Class.Service,
			Route:     x.Class.Route,
			Rank:      uint32(max(x.Class.Priority.Rank, 0)),
			RouteRank: uint32(max(x.Class.Priority.RouteRank, 0)),
			Account:   x.Account,
			Offered:   float32(x.Offered),
			Admitted:  float32(x.Admitted),
		})
	}
}

// applyDemands applies the demands in a peer's statement. The mutex is held.
func (d *dispatcher) applyDemands(now time.Time, s *wire.Statement) {
	var demands []admission.Demand
	for _, x := range s.Demands {
		demands = append(demands, admission.Demand{
			Class: admission.RequestClass{
				Service: x.Service, Route: x.Route,
				Priority: routing.Priority{Rank: int(x.Rank), RouteRank: int(x.RouteRank)},
			},
			Account: x.Account, Offered: float64(x.Offered), Admitted: float64(x.Admitted),
		})
	}
	d.gate.SetPeerDemands(now, s.Sender, demands)
}
