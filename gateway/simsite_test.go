package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// simStep is the resolution of the simulated time.
	simStep = 10 * time.Millisecond
	// simDelay is the delay of a request, a response or a statement.
	simDelay = 2 * time.Millisecond
)

// simSite is a simulated site of gateways without sockets, which exchange statements and
// can join, restart, freeze, drain and be cut off from each other. It runs in a synctest
// bubble.
type simSite struct {
	start    time.Time
	rng      *rand.Rand
	gateways []*simGateway
	byPeer   map[netip.AddrPort]*simGateway
	// later holds what happens in a later step, by the number of that step.
	later map[int64][]func()
	// directory returns the entries of the endpoints.
	directory func() []registry.Entry
	// settings changes the settings of a gateway; nil for nothing.
	settings func(*Settings)
	// serve lets a gateway serve its callers for one step.
	serve func(*simGateway)
}

// simGateway is a gateway of a simSite.
type simGateway struct {
	site     *simSite
	address  string
	gateway  *Gateway
	exchange *peerExchange
	// booted is called after each start of the process; nil for nothing.
	booted func()
	// down, frozen and cutOff hold while the gateway does not run, stands still, or does not
	// reach its peers.
	down, frozen, cutOff bool
	// troubledAt is when the process last started or froze, or ended doing so.
	troubledAt time.Duration
	nextSend   time.Time
	inbox      [][]byte
	// lost is the share of the statements of the gateway that are lost.
	lost float64
}

func newSimSite(seed uint64, directory func() []registry.Entry) *simSite {
	return &simSite{
		start: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), directory: directory,
		byPeer: make(map[netip.AddrPort]*simGateway), later: make(map[int64][]func()),
	}
}

func (s *simSite) now() time.Duration { return time.Since(s.start) }

// after schedules do, in the next step at the earliest.
func (s *simSite) after(delay time.Duration, do func()) {
	current := int64(s.now() / simStep)
	step := max(int64((s.now()+delay+simStep-1)/simStep), current+1)
	s.later[step] = append(s.later[step], do)
}

// join adds a gateway; the first two are the seeds of all.
func (s *simSite) join(booted func()) *simGateway {
	n := len(s.gateways)
	g := &simGateway{site: s, address: fmt.Sprintf("10.0.%d.%d:9", n/200, 1+n%200), booted: booted}
	s.gateways = append(s.gateways, g)
	s.byPeer[netip.MustParseAddrPort(g.address)] = g
	g.boot()
	return g
}

// boot starts the process of a gateway, which knows nothing but its seeds and the directory.
func (g *simGateway) boot() {
	g.inbox, g.nextSend, g.down = nil, time.Time{}, false
	g.troubledAt = g.site.now()
	settings := Settings{AvailabilityZone: "z", RetryRatio: 1, RetryAllowance: 1000, PeerSeeds: []string{"10.0.0.1:9", "10.0.0.2:9"}}
	settings.Listen.Peers = g.address
	if g.site.settings != nil {
		g.site.settings(&settings)
	}
	g.gateway = New(Options{Settings: settings, Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(g.site.rng.Uint64(), 2))})
	g.exchange = newExchange(g.gateway, time.Now())
	g.readDirectory()
	if g.booted != nil {
		g.booted()
	}
}

// readDirectory applies the directory of endpoints.
func (g *simGateway) readDirectory() {
	entries := g.site.directory()
	g.gateway.dispatcher.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change { return r.Replace(now, entries) })
}

// stop ends the process of a gateway for d.
func (g *simGateway) stop(d time.Duration) {
	g.down = true
	g.site.after(d, g.boot)
}

// freeze stops a gateway for d; it continues with what it knew.
func (g *simGateway) freeze(d time.Duration) {
	g.frozen = true
	g.site.after(d, func() { g.frozen, g.troubledAt = false, g.site.now() })
}

// cut separates a gateway from its peers for d; it still reaches callers, endpoints and the
// store.
func (g *simGateway) cut(d time.Duration) {
	g.cutOff = true
	g.site.after(d, func() { g.cutOff = false })
}

// runs reports whether the process runs.
func (g *simGateway) runs() bool { return !g.down && !g.frozen }

// whenRunning calls do after simDelay, or as soon as the gateway does not stand still, unless
// the given process has ended.
func (g *simGateway) whenRunning(process *Gateway, do func()) {
	g.site.after(simDelay, func() {
		switch {
		case g.down || g.gateway != process:
		case g.frozen:
			g.whenRunning(process, do)
		default:
			do()
		}
	})
}

// simSocket delivers the statements of a gateway to its peers.
type simSocket struct {
	net.PacketConn
	sender *simGateway
}

// WriteTo implements net.PacketConn.
func (s simSocket) WriteTo(b []byte, to net.Addr) (int, error) {
	site := s.sender.site
	udp, _ := to.(*net.UDPAddr)
	g := site.byPeer[udp.AddrPort()]
	if g == nil || s.sender.cutOff || site.rng.Float64() < s.sender.lost {
		return len(b), nil
	}
	datagram := slices.Clone(b)
	site.after(simDelay, func() {
		if !g.down && !g.cutOff {
			g.inbox = append(g.inbox, datagram)
		}
	})
	return len(b), nil
}

// step lets a gateway handle its datagrams, send its statement and serve callers.
func (g *simGateway) step() {
	if !g.runs() {
		return
	}
	for _, datagram := range g.inbox {
		g.exchange.handleDatagram(datagram)
	}
	g.inbox = nil
	if now := time.Now(); !now.Before(g.nextSend) {
		g.nextSend = now.Add(g.exchange.send(simSocket{sender: g}))
	}
	g.site.serve(g)
}

// poisson draws the number of events in a step from their mean, which is well below 1.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for mean > 0 && rng.Float64() < mean/float64(n+1) {
		n++
	}
	return n
}

// run simulates the site until a time.
func (s *simSite) run(until time.Duration) {
	for s.now() < until {
		step := int64(s.now() / simStep)
		due := s.later[step]
		delete(s.later, step)
		for _, do := range due {
			do()
		}
		for _, g := range s.gateways {
			g.step()
		}
		time.Sleep(simStep)
	}
}

// memoryRows is the store of a simulated site.
type memoryRows struct {
	down  bool
	rows  map[string]storage.Row
	calls int
	start time.Time
}

func newMemoryRows() *memoryRows {
	return &memoryRows{rows: make(map[string]storage.Row), start: time.Now()}
}

// Snapshot implements RowStore.
func (m *memoryRows) Snapshot(_ context.Context, prefix string) ([]storage.Row, time.Duration, error) {
	m.calls++
	if m.down {
		return nil, 0, storage.ErrUnavailable
	}
	var rows []storage.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, time.Since(m.start), nil
}

// Put implements RowStore.
func (m *memoryRows) Put(_ context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error) {
	m.calls++
	switch {
	case m.down:
		return storage.Row{}, storage.ErrUnavailable
	case m.rows[key].Revision != expected:
		return storage.Row{}, storage.ErrConflict
	}
	m.rows[key] = storage.Row{Key: key, Value: value, Revision: storage.Revision(strconv.Itoa(m.calls))}
	return m.rows[key], nil
}
