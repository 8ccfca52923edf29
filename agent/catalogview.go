package agent

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/expirable"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// maxKnownRouters and knownRouterTTL bound the router addresses that are kept as
	// sources of the catalog.
	maxKnownRouters = 64
	knownRouterTTL  = 10 * time.Minute
)

// catalogView holds the catalog version in force and the routers from which the
// catalog can be fetched while the store is down.
type catalogView struct {
	holder  *catalog.Holder
	updater *catalog.Updater
	routers *expirable.LRU[string, struct{}]
}

func newCatalogView(opts Options, incarnation string, client *http.Client, adopted func(catalog.Source)) *catalogView {
	v := &catalogView{
		holder:  catalog.NewHolder(),
		routers: expirable.NewLRU[string, struct{}](maxKnownRouters, nil, knownRouterTTL),
	}
	v.updater = catalog.NewUpdater(catalog.UpdaterOptions{
		Store:    catalog.NewStore(opts.Table),
		Peers:    catalog.NewRouterClient(peerURL(opts), client),
		Holder:   v.holder,
		PeerList: v.routers.Keys,
		Seed:     xxhash.Sum64String(incarnation),
		OnAdopt:  adopted,
	})
	return v
}

// peerURL returns the function that turns a peer's address into its base URL.
func peerURL(opts Options) func(string) string {
	prefix := "http://"
	if opts.PeerTLS != nil {
		prefix = "https://"
	}
	return func(address string) string { return prefix + address }
}

// Version returns the catalog version in force.
func (v *catalogView) Version() uint64 { return v.holder.Current().Version() }

// VersionSeen records the catalog version that a router has reported.
func (v *catalogView) VersionSeen(version uint64, peer string) {
	v.updater.VersionSeen(version, peer)
}

// NoteRouter records the address of a router.
func (v *catalogView) NoteRouter(address string) {
	if address != "" {
		v.routers.Add(address, struct{}{})
	}
}

// Snapshot returns the catalog as a message for a process that has the version have.
func (v *catalogView) Snapshot(have uint64) *rpc.CatalogSnapshot {
	return catalog.SnapshotMessage(v.holder, have)
}
