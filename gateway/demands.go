package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/peers"
	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// statementHeadroom is the part of a datagram, in bytes, that is left for what the exchange
// itself adds to a statement: addresses and sequence numbers of peers.
const statementHeadroom = 4 << 10

// addDemands adds the demands of client accounts to a statement that holds all else, largest
// first, as far as the datagram has room. A larger statement would not be sent at all.
func (d *dispatcher) addDemands(now time.Time, s *wire.Statement) {
	d.mu.Lock()
	demands := d.gate.ReportDemands(now)
	d.mu.Unlock()
	room := peers.MaxDatagram - statementHeadroom - proto.Size(s)
	for _, x := range demands {
		entry := &wire.Demand{
			Service:   x.Class.Service,
			Route:     x.Class.Route,
			Rank:      uint32(max(x.Class.Priority.Rank, 0)),
			RouteRank: uint32(max(x.Class.Priority.RouteRank, 0)),
			Account:   x.Account,
			Offered:   float32(x.Offered),
			Admitted:  float32(x.Admitted),
		}
		// An entry has a tag and a length of at most two bytes each.
		room -= proto.Size(entry) + 4
		if room < 0 {
			return
		}
		s.Demands = append(s.Demands, entry)
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
