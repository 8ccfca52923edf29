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
	// asks the seeds, and the interval at which it asks them again.
	askPeersAfter = 400 * time.Millisecond
	// askPeerTimeout bounds a request for the site state to one peer.
	askPeerTimeout = 500 * time.Millisecond
	// maxPeerRequestBytes bounds the body of a peer's request, which is an empty
	// message.
	maxPeerRequestBytes = 4 << 10
	// maxSiteStateBytes bounds a peer's response: the store allows 1 MB for the
	// configuration, and the entry of an endpoint takes about 200 bytes.
	maxSiteStateBytes = 8 << 20
)

// peerServer serves the site state to gateways that start while the store does not
// answer or that missed a configuration, and the cached parts to gateways that start.
// It implements wire.Peer.
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
	state.StoreEra = p.gateway.storeStatus.Era()
	state.ShownVersion = p.gateway.storeVersion.Load()
	state.StoreLostMs = uint64(p.gateway.storeLostFor(time.Now()).Milliseconds())
	return state, nil
}

// entries returns all entries of the registry and whether they were ever listed.
func (d *dispatcher) entries() (entries []registry.Entry, listed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Entries(func(e registry.Entry) { entries = append(entries, e) })
	return entries, d.endpointsListed
}

// servePeers serves peerServer over HTTP until ctx ends.
func (g *Gateway) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.options.Settings.Listen.Peers)
	if err != nil {
		return err
	}
	server := newControlServer(http.MaxBytesHandler(wire.NewPeerServer(peerServer{g}), maxPeerRequestBytes))
	stop := context.AfterFunc(ctx, func() {
		// The error is ignored: the listener ends with the process anyway.
		_ = server.Close()
	})
	defer stop()
	return server.Serve(listener)
}

// askPeers fetches the site state from the seeds until the gateway has a configuration
// and the endpoints, from the store or from peers.
func (g *Gateway) askPeers(ctx context.Context) error {
	seeds := peerSeeds(g.options.Settings)
	ticker := time.NewTicker(askPeersAfter)
	defer ticker.Stop()
	for !g.hasState() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if newest := newestState(g.askAll(ctx, seeds)); newest != nil && !g.hasState() {
			if err := g.adoptState(newest); err != nil {
				g.log.Warn().Err(err).Msg("site state of a peer could not be decoded")
				continue
			}
			g.log.Info().Bool("listed", newest.Listed).Int64("version", newest.ConfigVersion).Uint64("store_lost_ms", newest.StoreLostMs).
				Msg("state of the site taken from a peer")
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// hasState reports whether the gateway has a configuration and the endpoints.
func (g *Gateway) hasState() bool {
	return g.table.Load() != nil && g.dispatcher.isListed()
}

// askAll asks all seeds concurrently and returns the states of those that have a
// configuration.
func (g *Gateway) askAll(ctx context.Context, seeds []string) []*wire.SiteState {
	var wait sync.WaitGroup
	responses := make([]*wire.SiteState, len(seeds))
	for i, seed := range seeds {
		if seed == g.options.Settings.Listen.Peers {
			continue
		}
		wait.Go(func() { responses[i] = g.askPeer(ctx, seed) })
	}
	wait.Wait()
	return slices.DeleteFunc(responses, func(s *wire.SiteState) bool { return s == nil || len(s.Config) == 0 })
}

// newestState combines the newest configuration with the endpoints of the peer that
// reached the store most recently; nil without states. A peer that was cut off from the
// store may still have keys that were withdrawn and endpoints that have left.
func newestState(states []*wire.SiteState) *wire.SiteState {
	if len(states) == 0 {
		return nil
	}
	config := slices.MaxFunc(states, func(a, b *wire.SiteState) int {
		return cmp.Compare(a.ConfigVersion, b.ConfigVersion)
	})
	endpoints := slices.MinFunc(states, func(a, b *wire.SiteState) int {
		// Of two peers that reach the store, the one with the later era, or with the newer
		// configuration read from the store, is more recent.
		return cmp.Or(cmp.Compare(a.StoreLostMs, b.StoreLostMs), cmp.Compare(b.StoreEra, a.StoreEra), cmp.Compare(b.ShownVersion, a.ShownVersion))
	})
	return &wire.SiteState{
		Config: config.Config, ConfigVersion: config.ConfigVersion,
		Endpoints: endpoints.Endpoints, Listed: endpoints.Listed, StoreLostMs: endpoints.StoreLostMs,
	}
}

// peerClient returns a client of the gateway at an address. Each call opens a
// connection.
func peerClient(address string) wire.Peer { return peerClientOver(newPeerTransport(), address) }

// newPeerTransport returns the transport of a client of a peer.
func newPeerTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxControlHeaderBytes}
}

func peerClientOver(transport *http.Transport, address string) wire.Peer {
	bounded := httpbound.Transport{RoundTripper: transport, Limit: maxSiteStateBytes}
	return wire.NewPeerProtobufClient("http://"+address, &http.Client{Transport: bounded})
}

// askPeer fetches the site state of a peer; nil if the call fails.
func (g *Gateway) askPeer(ctx context.Context, address string) *wire.SiteState {
	ctx, cancel := context.WithTimeout(ctx, askPeerTimeout)
	defer cancel()
	state, err := peerClient(address).State(ctx, &wire.StateRequest{})
	if err != nil {
		g.log.Warn().Str("peer", address).Err(err).Msg("could not fetch the site state of a peer")
		return nil
	}
	return state
}

// adoptState applies the site state of a peer. The configuration is adopted only if it
// supersedes the one in force, and the entries only while no endpoints were listed.
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
	entries = slices.DeleteFunc(entries, func(e registry.Entry) bool {
		err := e.Validate()
		if err != nil {
			g.log.Warn().Str("endpoint", e.ID).Err(err).Msg("entry in the site state of a peer left out")
		}
		return err != nil
	})
	g.adopt(config)
	if state.Listed && !g.dispatcher.isListed() {
		g.EndpointsListed(entries)
	}
	return nil
}
