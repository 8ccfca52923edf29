package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/expirable"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	maxKnownRouters = 64
	routerMemory    = 10 * time.Minute
)

// catalogView is the agent's part of the catalog: the version in force and the
// routers from which it can be fetched while the store is down.
type catalogView struct {
	holder      *catalog.Holder
	distributor *catalog.Distributor
	routers     *expirable.LRU[string, struct{}]
}

func newCatalogView(opts Options, incarnation string) *catalogView {
	v := &catalogView{
		holder:  catalog.NewHolder(),
		routers: expirable.NewLRU[string, struct{}](maxKnownRouters, nil, routerMemory),
	}
	v.distributor = catalog.NewDistributor(catalog.DistributorOptions{
		Store:    newStore(opts.Table),
		Peers:    &routerFetcher{client: &http.Client{Transport: opts.PeerTransport}, scheme: scheme(opts)},
		Holder:   v.holder,
		PeerList: v.routers.Keys,
		Seed:     xxhash.Sum64String(incarnation),
	})
	return v
}

func scheme(opts Options) string {
	if opts.PeerTLS != nil {
		return "https"
	}
	return "http"
}

// Version returns the catalog version in force.
func (v *catalogView) Version() uint64 { return v.holder.Current().Version() }

// Seen notes the version of a router.
func (v *catalogView) Seen(version uint64, peer string) { v.distributor.Seen(version, peer) }

// SeenPeer notes the address of a router.
func (v *catalogView) SeenPeer(address string) {
	if address != "" {
		v.routers.Add(address, struct{}{})
	}
}

// Snapshot returns the catalog as a message, without its body when the asking
// process has the same version or a newer one.
func (v *catalogView) Snapshot(have uint64) *rpc.CatalogSnapshot {
	return Snapshot(v.holder, have)
}

// Snapshot encodes the catalog in force at a holder.
func Snapshot(holder *catalog.Holder, have uint64) *rpc.CatalogSnapshot {
	current := holder.Current()
	snapshot := &rpc.CatalogSnapshot{Version: current.Version()}
	if current.Version() <= have {
		return snapshot
	}
	body, err := catalog.Encode(current.Catalog())
	if err != nil {
		return &rpc.CatalogSnapshot{}
	}
	snapshot.Body = body
	return snapshot
}

// routerFetcher asks routers for their catalog.
type routerFetcher struct {
	client *http.Client
	scheme string
}

// FetchCatalog implements catalog.PeerFetcher.
func (f *routerFetcher) FetchCatalog(ctx context.Context, peer string, have uint64) (uint64, []byte, error) {
	router := rpc.NewRouterProtobufClient(f.scheme+"://"+peer, f.client)
	snapshot, err := router.FetchCatalog(ctx, &rpc.FetchCatalogRequest{HaveVersion: have})
	if err != nil {
		return 0, nil, err
	}
	return snapshot.GetVersion(), snapshot.GetBody(), nil
}
