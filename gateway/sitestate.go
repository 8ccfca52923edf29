package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/httpbound"
)

const (
	// askPeersAfter is how long a starting gateway waits for the store before it
	// asks other gateways, and the pause between two rounds.
	askPeersAfter = 400 * time.Millisecond
	// askPeerTimeout bounds the answer of one gateway.
	askPeerTimeout = 500 * time.Millisecond
	// maxPeerRequestBytes bounds a request of a peer, which is an empty message.
	maxPeerRequestBytes = 4 << 10
	// maxSiteStateBytes bounds the state that a peer answers: the store allows 1 MB
	// for the configuration, and an entry of an endpoint takes about 200 bytes.
	maxSiteStateBytes = 8 << 20
)

// peerServer answers gateways that start while the store does not. It implements
// wire.Peer.
type peerServer struct{ gateway *Gateway }

// State implements wire.Peer.
func (p peerServer) State(context.Context, *wire.StateRequest) (*wire.SiteState, error) {
	state := &wire.SiteState{}
	table := p.gateway.table.Load()
	if table == nil {
		return state, nil
	}
	state.ConfigVersion = table.Version
	entries, listed := p.gateway.dispatcher.entries()
	var err error
	if state.Config, err = json.Marshal(table.Config); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if state.Endpoints, err = json.Marshal(entries); err != nil {
		return nil, fmt.Errorf("encode endpoints: %w", err)
	}
	state.Listed = listed
	state.StoreEra = p.gateway.outage.Era()
	state.ShownVersion = p.gateway.shown.Load()
	state.StoreLostMs = uint64(p.gateway.storeLostFor(time.Now()).Milliseconds())
	return state, nil
}

func (d *dispatcher) entries() (entries []registry.Entry, listed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Entries(func(e registry.Entry) { entries = append(entries, e) })
	return entries, d.listed
}

// servePeers answers other gateways until ctx ends.
func (g *Gateway) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.o.Settings.Listen.Peers)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           http.MaxBytesHandler(wire.NewPeerServer(peerServer{g}), maxPeerRequestBytes),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		MaxHeaderBytes:    maxControlHeadBytes,
	}
	stop := context.AfterFunc(ctx, func() {
		// The listener ends with the process; its error tells nothing more.
		_ = server.Close()
	})
	defer stop()
	return server.Serve(listener)
}

// askPeers fetches the state of the site from the seeds while the store has not
// answered since the start.
func (g *Gateway) askPeers(ctx context.Context) error {
	seeds := peerSeeds(g.o.Settings)
	ticker := time.NewTicker(askPeersAfter)
	defer ticker.Stop()
	for !g.informed() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if newest := newestState(g.askAll(ctx, seeds)); newest != nil && !g.informed() {
			if err := g.adoptState(newest); err != nil {
				g.log.Warn().Err(err).Msg("state of a peer not usable")
				continue
			}
			g.log.Info().Bool("listed", newest.Listed).Int64("version", newest.ConfigVersion).Uint64("store_lost_ms", newest.StoreLostMs).
				Msg("state of the site taken from a peer")
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (g *Gateway) informed() bool {
	return g.table.Load() != nil && g.dispatcher.isListed()
}

// askAll asks the seeds at the same time and returns the states of those that know
// a configuration.
func (g *Gateway) askAll(ctx context.Context, seeds []string) []*wire.SiteState {
	var wait sync.WaitGroup
	answers := make([]*wire.SiteState, len(seeds))
	for i, seed := range seeds {
		if seed == g.o.Settings.Listen.Peers {
			continue
		}
		wait.Go(func() { answers[i] = g.askPeer(ctx, seed) })
	}
	wait.Wait()
	return slices.DeleteFunc(answers, func(s *wire.SiteState) bool { return s == nil || len(s.Config) == 0 })
}

// newestState joins the newest configuration with the endpoints of the peer that
// reached the store last; nil without states. A peer that was cut off may still
// know keys that were withdrawn and endpoints that have left.
func newestState(states []*wire.SiteState) *wire.SiteState {
	if len(states) == 0 {
		return nil
	}
	config := slices.MaxFunc(states, func(a, b *wire.SiteState) int {
		return cmp.Compare(a.ConfigVersion, b.ConfigVersion)
	})
	endpoints := slices.MinFunc(states, func(a, b *wire.SiteState) int {
		// Of two that reach the store, the later era or the newer configuration that it
		// has shown tells who is ahead.
		return cmp.Or(cmp.Compare(a.StoreLostMs, b.StoreLostMs), cmp.Compare(b.StoreEra, a.StoreEra), cmp.Compare(b.ShownVersion, a.ShownVersion))
	})
	return &wire.SiteState{
		Config: config.Config, ConfigVersion: config.ConfigVersion,
		Endpoints: endpoints.Endpoints, Listed: endpoints.Listed, StoreLostMs: endpoints.StoreLostMs,
	}
}

// peerClient calls the gateway at an address; each call opens a connection.
func peerClient(address string) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address, &http.Client{Transport: httpbound.Transport{
		RoundTripper: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxControlHeadBytes},
		Limit:        maxSiteStateBytes,
	}})
}

// askPeer returns the state that a peer knows; nil if it does not answer.
func (g *Gateway) askPeer(ctx context.Context, address string) *wire.SiteState {
	ctx, cancel := context.WithTimeout(ctx, askPeerTimeout)
	defer cancel()
	state, err := peerClient(address).State(ctx, &wire.StateRequest{})
	if err != nil {
		g.log.Warn().Str("peer", address).Err(err).Msg("peer not reached for the state of the site")
		return nil
	}
	return state
}

// adoptState takes what a peer knows. A configuration is adopted only if it is
// newer than the one in force, and entries only before the store was read.
func (g *Gateway) adoptState(state *wire.SiteState) error {
	if len(state.Config) == 0 {
		return nil
	}
	var config routing.Config
	if err := json.Unmarshal(state.Config, &config); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	var entries []registry.Entry
	if err := json.Unmarshal(state.Endpoints, &entries); err != nil {
		return fmt.Errorf("decode endpoints: %w", err)
	}
	g.adopt(config)
	if state.Listed && !g.dispatcher.isListed() {
		g.EndpointsListed(entries)
	}
	return nil
}
