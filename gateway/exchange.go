package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/peers"
	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// placementRepeat is the number of successive statements that include a placement,
	// so that the loss of a datagram does not lose it.
	placementRepeat = 3
	// maxLoads to maxLimits bound the entries of each kind in a statement and keep it
	// below peers.MaxDatagram.
	maxLoads       = 300
	maxPlacements  = 200
	maxPressures   = 30
	maxSpeeds      = 8
	maxUnreachable = 200
	maxPauses      = 200
	maxLimits      = 64
	// storeReturnStatedFor is how long statements tell peers that the store answers
	// again: two intervals of the largest site.
	storeReturnStatedFor = 10 * time.Second
	// maxStatedAge is the age up to which a time is included in a statement.
	maxStatedAge = time.Minute
	// sendCheckInterval is the time after a statement until the gateway checks whether
	// the next one is due.
	sendCheckInterval = 15 * time.Millisecond
	// peerLoadIntervals is how many statement intervals a peer's load counts without a
	// new statement, so that the loss of one does not matter.
	peerLoadIntervals = 2
)

// peerExchange sends this gateway's statements to its peers over UDP and applies
// theirs.
type peerExchange struct {
	gateway       *Gateway
	mu            sync.Mutex
	exchange      *peers.Exchange
	lostDatagrams uint64
	// sentAt are the times of the last placementRepeat statements, oldest first.
	sentAt [placementRepeat]time.Time
}

// peerSeeds returns the configured seeds with the port of Listen.Peers, which all
// gateways use for the exchange. Seeds that are not IP:PORT are left out.
func peerSeeds(s Settings) []string {
	self, err := netip.ParseAddrPort(s.Listen.Peers)
	if err != nil {
		return nil
	}
	var seeds []string
	for _, seed := range s.PeerSeeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			seeds = append(seeds, netip.AddrPortFrom(a.Addr(), self.Port()).String())
		}
	}
	return seeds
}

// otherPeers returns the configured seeds without this gateway itself.
func otherPeers(s Settings) []string {
	return slices.DeleteFunc(peerSeeds(s), func(seed string) bool { return seed == s.Listen.Peers })
}

func newExchange(g *Gateway, started time.Time) *peerExchange {
	s := g.options.Settings
	g.dispatcher.startUsage(s.Listen.Peers, started)
	return &peerExchange{gateway: g, exchange: peers.New(s.Listen.Peers, peerSeeds(s), started)}
}

// sample returns up to n random addresses of peers with a recent statement.
func (x *peerExchange) sample(rng *rand.Rand, n int) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	alive := x.exchange.Alive(time.Now())
	rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// serve sends and receives statements until ctx ends. It returns an error if the socket
// cannot be opened; later errors of the socket only lose datagrams.
func (x *peerExchange) serve(ctx context.Context) error {
	socket, err := net.ListenPacket("udp", x.gateway.options.Settings.Listen.Peers)
	if err != nil {
		return err
	}
	defer socket.Close()
	received := make(chan error, 1)
	go func() { received <- x.receive(socket) }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			x.sendFarewell(socket)
			return ctx.Err()
		case err := <-received:
			return err
		case <-timer.C:
			timer.Reset(x.send(socket))
		}
	}
}

// send sends a statement to all peers if one is due, and returns the time until the
// next check.
func (x *peerExchange) send(socket net.PacketConn) time.Duration {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if due, wait := x.exchange.Due(now, x.gateway.dispatcher.needsEarlyStatement()); !due {
		return wait
	}
	x.sendStatement(now, socket)
	return sendCheckInterval
}

// sendFarewell states the last usage counts of a gateway that has drained.
func (x *peerExchange) sendFarewell(socket net.PacketConn) {
	if !x.gateway.draining.Load() || !x.gateway.dispatcher.closeUsage() {
		return
	}
	for n := 1; n <= maxFarewells && !x.farewell(socket, n); n++ {
		time.Sleep(farewellPause)
	}
}

// farewell sends the nth of the last statements, and reports whether no further one is
// needed.
func (x *peerExchange) farewell(socket net.PacketConn, n int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sendStatement(time.Now(), socket)
	return n >= farewellStatements && x.gateway.dispatcher.usageClosed()
}

// sendStatement sends a statement to all peers.
func (x *peerExchange) sendStatement(now time.Time, socket net.PacketConn) {
	interval := x.exchange.Interval(now)
	known := x.exchange.AliveCount(now)
	x.gateway.peerCount.Store(int64(known))
	x.gateway.dispatcher.setGateways(known + 1)
	isolated := x.exchange.Isolated(now)
	x.gateway.storeStatus.SetGateways(known+1, known == 0 || isolated)
	x.gateway.dispatcher.expirePeerLoads(now, peerLoadIntervals*interval)
	statement := x.gateway.dispatcher.statement(now, x.sentAt[0])
	x.gateway.dispatcher.addLimits(now, interval, statement)
	x.gateway.dispatcher.setAlivePeers(x.exchange.Alive(now), isolated)
	x.gateway.dispatcher.addCrashes(now, statement)
	x.gateway.dispatcher.addVersions(now, statement)
	x.gateway.dispatcher.addUsage(now, statement)
	copy(x.sentAt[:], x.sentAt[1:])
	x.sentAt[placementRepeat-1] = now
	x.gateway.addStoreState(now, statement)
	statement.StoreAnswered = storeAnsweredAge(now, x.gateway.storeStatus.RecoveredAt())
	x.gateway.dispatcher.addDemands(now, statement)
	datagram, err := x.exchange.Compose(now, statement)
	if err != nil {
		x.gateway.log.Warn().Err(err).Msg("statement to peers not sent")
		return
	}
	for _, target := range x.exchange.Targets(now) {
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			continue
		}
		// The next statement makes up for a datagram that could not be sent.
		if _, err := socket.WriteTo(datagram, net.UDPAddrFromAddrPort(address)); err != nil {
			x.lostDatagrams++
		}
	}
}

// receive handles datagrams until the socket is closed.
func (x *peerExchange) receive(socket net.PacketConn) error {
	buffer := make([]byte, peers.MaxDatagram+1)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			x.lostDatagrams++
			continue
		}
		x.handleDatagram(buffer[:n])
	}
}

// handleDatagram applies a statement unless it is invalid or outdated.
func (x *peerExchange) handleDatagram(datagram []byte) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	statement, fresh, err := x.exchange.Receive(now, datagram)
	if err != nil || !fresh {
		return
	}
	if ago := statement.StoreAnswered; ago > 0 {
		x.gateway.storeStatus.HintRecovered(now, now.Add(-time.Duration(ago)*time.Millisecond))
	}
	x.gateway.logEndpointChanges(x.gateway.dispatcher.applyStatement(now, statement))
	x.gateway.receiveStoreState(now, statement)
}

// encodeAge returns the milliseconds since a time, plus one; zero for a zero time or
// one longer ago than maxStatedAge.
func encodeAge(now, at time.Time) uint32 {
	ago := now.Sub(at)
	if at.IsZero() || ago > maxStatedAge {
		return 0
	}
	return uint32(max(ago, 0).Milliseconds()) + 1
}

// decodeAge is the inverse of encodeAge.
func decodeAge(now time.Time, ago uint32) time.Time {
	if ago == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ago-1) * time.Millisecond)
}

// storeAnsweredAge returns the milliseconds since the store answered after an outage,
// plus one; zero without an outage or if it is longer ago than storeReturnStatedFor.
func storeAnsweredAge(now, at time.Time) uint32 {
	ago := now.Sub(at)
	if at.IsZero() || ago > storeReturnStatedFor {
		return 0
	}
	return uint32(ago.Milliseconds()) + 1
}

// statement returns what this gateway tells its peers: its loads, pressures, speeds
// and observations of endpoints, and its placements since a time.
func (d *dispatcher) statement(now, since time.Time) *wire.Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	var loads []*wire.Load
	d.fleet.OwnLoads(func(endpoint uint64, l placement.Load) {
		if len(loads) >= maxLoads {
			return
		}
		loads = append(loads, &wire.Load{
			Endpoint: endpoint,
			Running:  uint32(l.Running),
			Tight:    float32(l.Tight),
			Prefill:  uint32(l.Prefill),
			Memory:   uint32(l.Memory),
		})
	})
	latest := d.fleet.Placements(since)
	latest = latest[max(len(latest)-maxPlacements, 0):]
	var placements []*wire.Placement
	for _, p := range latest {
		placements = append(placements, &wire.Placement{Endpoint: p.Process, Part: p.Part.ID, Tokens: uint32(p.Part.Tokens)})
	}
	var pressures []*wire.Pressure
	d.gate.ReportOwn(now, func(k admission.RequestClass, r admission.Pressure) {
		if len(pressures) >= maxPressures {
			return
		}
		pressures = append(pressures, &wire.Pressure{
			Service:   k.Service,
			Kind:      k.Route,
			Rank:      uint32(max(k.Priority.Rank, 0)),
			RouteRank: uint32(max(k.Priority.RouteRank, 0)),
			Size:      uint32(r.Size),
			Offered:   float32(r.Offered),
			Late:      float32(r.Late),

			AdmittedAgo: encodeAge(now, r.LastAdmitted),
			RefusedAgo:  encodeAge(now, r.LastRefused),
		})
	})
	var speeds []*wire.Speed
	d.fleet.OwnSpeeds(func(service string, s placement.Speed) {
		if len(speeds) < maxSpeeds {
			speeds = append(speeds, &wire.Speed{Service: service, Rate: float32(s.Rate), Weight: float32(s.Weight)})
		}
	})
	return &wire.Statement{
		Leaving: d.leavingToSend(now), Pauses: d.pausesToSend(now),
		Loads: loads, Placements: placements, Pressures: pressures, Speeds: speeds,
		Unreachable: d.unreachableToSend(now),
	}
}

// unreachableToSend returns the processes of endpoints that accepted no connection of this
// gateway. The mutex is held.
func (d *dispatcher) unreachableToSend(now time.Time) []uint64 {
	failed := d.reach.FailuresToReport(now)
	failed = failed[:min(len(failed), maxUnreachable)]
	for i, endpoint := range failed {
		failed[i] = d.fleet.Process(endpoint)
	}
	return failed
}

// leavingToSend returns the endpoints that announced their leaving within
// leavingStatedFor. The mutex is held.
func (d *dispatcher) leavingToSend(now time.Time) []*wire.Leaving {
	var leaving []*wire.Leaving
	for _, i := range d.recentlyLeaving {
		if now.Sub(i.at) < leavingStatedFor {
			leaving = append(leaving, &wire.Leaving{Endpoint: i.ID, Born: i.Born})
		}
	}
	return leaving
}

// pausesToSend returns the pauses that endpoints asked of this gateway. The mutex is
// held.
func (d *dispatcher) pausesToSend(now time.Time) []*wire.Pause {
	var pauses []*wire.Pause
	d.pauses.ReportOwn(now, func(endpoint uint64, left time.Duration) {
		if len(pauses) < maxPauses {
			pauses = append(pauses, &wire.Pause{Endpoint: d.fleet.Process(endpoint), LeftMs: uint32(left.Milliseconds())})
		}
	})
	return pauses
}

// applyStatement applies a peer's statement and returns the changes of the registry
// that it causes.
func (d *dispatcher) applyStatement(now time.Time, s *wire.Statement) []registry.Change {
	loads := make(map[uint64]placement.Load, len(s.Loads))
	for _, l := range s.Loads {
		loads[l.Endpoint] = placement.Load{
			Running: int(l.Running), Tight: float64(l.Tight), Prefill: int(l.Prefill), Memory: int(l.Memory),
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.PeerLoads(now, s.Sender, loads)
	for _, r := range s.Pressures {
		k := admission.RequestClass{Service: r.Service, Route: r.Kind, Priority: routing.Priority{Rank: int(r.Rank), RouteRank: int(r.RouteRank)}}
		d.gate.SetPeerPressure(now, s.Sender, k, admission.Pressure{
			Size: float64(r.Size), Offered: float64(r.Offered), Late: float64(r.Late),
			LastAdmitted: decodeAge(now, r.AdmittedAgo),
			LastRefused:  decodeAge(now, r.RefusedAgo),
		})
	}
	d.applyDemands(now, s)
	d.applyCrashes(now, s)
	d.applyVersions(now, s)
	d.applyUsage(now, s)
	for _, process := range s.Unreachable {
		if id := d.fleet.ProcessName(process); id != "" {
			d.reach.AddPeerReport(now, s.Sender, placement.Hash(id))
		}
	}
	for _, v := range s.Speeds {
		d.fleet.PeerSpeed(now, s.Sender, v.Service, placement.Speed{Rate: float64(v.Rate), Weight: float64(v.Weight)})
	}
	for _, p := range s.Placements {
		d.fleet.PeerPlacement(now, p.Endpoint, placement.Part{ID: p.Part, Tokens: int(p.Tokens)})
	}
	d.applyLimits(now, s)
	for _, p := range s.Pauses {
		if id := d.fleet.ProcessName(p.Endpoint); id != "" {
			d.pauses.AddHint(now, placement.Hash(id), time.Duration(p.LeftMs)*time.Millisecond)
		}
	}
	var changes []registry.Change
	for _, l := range s.Leaving {
		changes = append(changes, d.markLeaving(now, registry.Incarnation{ID: l.Endpoint, Born: l.Born})...)
	}
	return changes
}
