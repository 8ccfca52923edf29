package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/peers"
	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// placementRepeat is the number of statements that a placement is part of, so
	// that a lost datagram does not lose it.
	placementRepeat = 3
	// maxLoads and maxPlacementsSent keep a statement below peers.MaxDatagram.
	maxLoads          = 300
	maxPlacementsSent = 200
	maxPressures      = 30
	maxSpeeds         = 8
	maxUnreachable    = 200
	maxPausesSent     = 200
	// returnNews is how long the return of the store is told: two statements of the
	// largest site.
	returnNews = 10 * time.Second
	// longestAgo is the age up to which a time is stated.
	longestAgo = time.Minute
	// minWait is the time after a statement until the next look whether one is due.
	minWait = 15 * time.Millisecond
	// loadIntervals is how many intervals a peer's load counts without a new
	// statement; one in a row may be lost.
	loadIntervals = 2
)

// exchange sends this gateway's loads to its peers and takes theirs.
type exchange struct {
	gateway *Gateway
	mu      sync.Mutex
	state   *peers.Exchange
	lost    uint64
	// sentAt are the times of the latest statements, oldest first.
	sentAt [placementRepeat]time.Time
}

// peerSeeds returns the seeds with the port that all gateways use for peers.
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

func newExchange(g *Gateway, started time.Time) *exchange {
	s := g.o.Settings
	return &exchange{gateway: g, state: peers.New(s.Listen.Peers, peerSeeds(s), started)}
}

// some returns n peers drawn from those that were heard recently.
func (x *exchange) some(rng *rand.Rand, n int) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	alive := x.state.Alive(time.Now())
	rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// serve exchanges statements until ctx ends.
func (x *exchange) serve(ctx context.Context) error {
	socket, err := net.ListenPacket("udp", x.gateway.o.Settings.Listen.Peers)
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
			return ctx.Err()
		case err := <-received:
			return err
		case <-timer.C:
			timer.Reset(x.send(socket))
		}
	}
}

// send sends a statement to all peers if one is due, and returns the time until
// the next look.
func (x *exchange) send(socket net.PacketConn) time.Duration {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if due, wait := x.state.Due(now, x.gateway.dispatcher.news()); !due {
		return wait
	}
	interval := x.state.Interval(now)
	known := x.state.AliveCount(now)
	x.gateway.peers.Store(int64(known))
	x.gateway.dispatcher.setGateways(known + 1)
	x.gateway.outage.SetGateways(known + 1)
	x.gateway.dispatcher.expirePeerLoads(now, loadIntervals*interval)
	statement := x.gateway.dispatcher.statement(now, x.sentAt[0])
	copy(x.sentAt[:], x.sentAt[1:])
	x.sentAt[placementRepeat-1] = now
	x.gateway.stateStore(statement)
	statement.StoreAnswered = storeAnswered(now, x.gateway.outage.RecoveredAt())
	datagram, err := x.state.Compose(now, statement)
	if err != nil {
		x.gateway.log.Warn().Err(err).Msg("statement to peers not sent")
		return minWait
	}
	for _, target := range x.state.Targets(now) {
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			continue
		}
		// A datagram that is not sent is replaced by the next one.
		if _, err := socket.WriteTo(datagram, net.UDPAddrFromAddrPort(address)); err != nil {
			x.lost++
		}
	}
	return minWait
}

func (x *exchange) receive(socket net.PacketConn) error {
	buffer := make([]byte, peers.MaxDatagram+1)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			x.lost++
			continue
		}
		x.take(buffer[:n])
	}
}

func (x *exchange) take(datagram []byte) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	statement, fresh, err := x.state.Receive(now, datagram)
	if err != nil || !fresh {
		return
	}
	if ago := statement.StoreAnswered; ago > 0 {
		x.gateway.outage.HintRecovered(now, now.Add(-time.Duration(ago)*time.Millisecond))
	}
	x.gateway.logChanges(x.gateway.dispatcher.heard(now, statement))
	x.gateway.heardOfStore(now, statement)
}

// agoMS states a time as the milliseconds since then, plus one; zero for a time that
// is zero or too long ago to be of use.
func agoMS(now, at time.Time) uint32 {
	ago := now.Sub(at)
	if at.IsZero() || ago > longestAgo {
		return 0
	}
	return uint32(max(ago, 0).Milliseconds()) + 1
}

// timeAgo is the inverse of agoMS.
func timeAgo(now time.Time, ago uint32) time.Time {
	if ago == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ago-1) * time.Millisecond)
}

// storeAnswered is the time since the store's return for a statement; zero when it
// is no news any more.
func storeAnswered(now, at time.Time) uint32 {
	ago := now.Sub(at)
	if at.IsZero() || ago > returnNews {
		return 0
	}
	return uint32(ago.Milliseconds()) + 1
}

// statement returns the loads and pressures of this gateway and its placements
// since a time.
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
	latest = latest[max(len(latest)-maxPlacementsSent, 0):]
	var placements []*wire.Placement
	for _, p := range latest {
		placements = append(placements, &wire.Placement{Endpoint: p.Endpoint, Part: p.Part.ID, Tokens: uint32(p.Part.Tokens)})
	}
	var pressures []*wire.Pressure
	d.gate.Own(now, func(k admission.Kind, r admission.Pressure) {
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

			AdmittedAgo: agoMS(now, r.LastAdmitted),
			RefusedAgo:  agoMS(now, r.LastRefused),
		})
	})
	var suspects []*wire.Suspect
	for _, o := range d.crashes.Reports(now) {
		suspects = append(suspects, &wire.Suspect{Request: uint64(o.Request), Endpoint: o.Endpoint})
	}
	var speeds []*wire.Speed
	d.fleet.OwnSpeeds(func(service string, s placement.Speed) {
		if len(speeds) < maxSpeeds {
			speeds = append(speeds, &wire.Speed{Service: service, Rate: float32(s.Rate), Weight: float32(s.Weight)})
		}
	})
	unreachable := d.reach.Reports(now)
	return &wire.Statement{
		Leaving: d.statedLeaving(now), Pauses: d.statedPauses(now),
		Loads: loads, Placements: placements, Pressures: pressures, Suspects: suspects, Speeds: speeds,
		Unreachable: unreachable[:min(len(unreachable), maxUnreachable)],
	}
}

func (d *dispatcher) statedLeaving(now time.Time) []*wire.Leaving {
	var leaving []*wire.Leaving
	for _, i := range d.leaving {
		if now.Sub(i.at) < leavingTold {
			leaving = append(leaving, &wire.Leaving{Endpoint: i.ID, Born: i.Born})
		}
	}
	return leaving
}

func (d *dispatcher) statedPauses(now time.Time) []*wire.Pause {
	var pauses []*wire.Pause
	d.pauses.Own(now, func(endpoint uint64, left time.Duration) {
		if len(pauses) < maxPausesSent {
			pauses = append(pauses, &wire.Pause{Endpoint: endpoint, LeftMs: uint32(left.Milliseconds())})
		}
	})
	return pauses
}

// heard takes a peer's statement and returns the changes that it causes.
func (d *dispatcher) heard(now time.Time, s *wire.Statement) []registry.Change {
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
		k := admission.Kind{Service: r.Service, Route: r.Kind, Priority: routing.Priority{Rank: int(r.Rank), RouteRank: int(r.RouteRank)}}
		d.gate.Hear(now, s.Sender, k, admission.Pressure{
			Size: float64(r.Size), Offered: float64(r.Offered), Late: float64(r.Late),
			LastAdmitted: timeAgo(now, r.AdmittedAgo),
			LastRefused:  timeAgo(now, r.RefusedAgo),
		})
	}
	for _, suspect := range s.Suspects {
		d.crashes.Hear(crashes.Observation{Request: crashes.Fingerprint(suspect.Request), Endpoint: suspect.Endpoint, At: now})
	}
	for _, endpoint := range s.Unreachable {
		d.reach.Hear(now, s.Sender, endpoint)
	}
	for _, v := range s.Speeds {
		d.fleet.PeerSpeed(now, s.Sender, v.Service, placement.Speed{Rate: float64(v.Rate), Weight: float64(v.Weight)})
	}
	for _, p := range s.Placements {
		d.fleet.PeerPlacement(now, p.Endpoint, placement.Part{ID: p.Part, Tokens: int(p.Tokens)})
	}
	for _, p := range s.Pauses {
		d.pauses.Hear(now, p.Endpoint, time.Duration(p.LeftMs)*time.Millisecond)
	}
	var changes []registry.Change
	for _, l := range s.Leaving {
		changes = append(changes, d.leave(now, registry.Incarnation{ID: l.Endpoint, Born: l.Born})...)
	}
	return changes
}
