package router

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// confirmTimeout limits how long a request waits for the confirmation of the
// catalog version after this process was paused or disconnected.
const confirmTimeout = 2 * time.Second

// catalogView holds the catalog version in force in the router, keeps it up to
// date with a catalog.Updater, and serves it to other processes.
type catalogView struct {
	holder  *catalog.Holder
	store   *catalog.Store
	client  *dispatch.Client
	seed    uint64
	updater *catalog.Updater
}

func newCatalogView(store *catalog.Store, client *dispatch.Client, seed uint64) *catalogView {
	return &catalogView{holder: catalog.NewHolder(), store: store, client: client, seed: seed}
}

// start creates the updater; peers lists the agents that it asks for the
// catalog while the store is down, and adopted is called for each version adopted.
func (v *catalogView) start(peers func() []string, adopted func(catalog.Source)) {
	v.updater = catalog.NewUpdater(catalog.UpdaterOptions{
		Store:    v.store,
		Peers:    catalog.NewAgentClient(v.client.URL, v.client.HTTPClient()),
		Holder:   v.holder,
		PeerList: peers,
		Seed:     v.seed,
		OnAdopt:  adopted,
	})
}

// Current returns the catalog in force, or nil before the first one.
func (v *catalogView) Current() *catalog.Index {
	index := v.holder.Current()
	if index.Version() == 0 {
		return nil
	}
	return index
}

// Version returns the catalog version in force.
func (v *catalogView) Version() uint64 { return v.holder.Current().Version() }

// VersionSeen records that an agent has this catalog version in force.
func (v *catalogView) VersionSeen(version uint64, peer string) { v.updater.VersionSeen(version, peer) }

// Confirmed returns nil when the version in force was confirmed recently. If it
// was not, Confirmed tries to have it confirmed within confirmTimeout.
func (v *catalogView) Confirmed(ctx context.Context) *resultcode.Error {
	if v.holder.Fresh(time.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := v.updater.Refresh(ctx); err != nil {
		return resultcode.Wrap(resultcode.NotReady, err, "the catalog in force cannot be confirmed").
			WithRetryAfter(confirmTimeout)
	}
	return nil
}

// Await waits until at least the version is in force.
func (v *catalogView) Await(ctx context.Context, version uint64) error {
	for {
		changed := v.holder.Changed()
		if v.Version() >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// FetchCatalog returns the catalog in force to another process. It implements
// rpc.Router.
func (v *catalogView) FetchCatalog(_ context.Context, req *rpc.FetchCatalogRequest) (*rpc.CatalogSnapshot, error) {
	return catalog.SnapshotMessage(v.holder, req.GetHaveVersion()), nil
}

// adoptingStore is the catalog store that the admin API writes to. An accepted
// change is in force in this router at once, so that its peers learn of it also
// when the store goes down right after the write.
type adoptingStore struct {
	*catalog.Store
	holder *catalog.Holder
}

// Put writes a change and adopts the resulting version.
func (s adoptingStore) Put(ctx context.Context, now time.Time, change catalog.Change) (*catalog.Catalog, error) {
	sentAt := time.Now()
	made, err := s.Store.Put(ctx, now, change)
	if err == nil && len(made.Profiles) > 0 {
		s.holder.Adopt(sentAt, made)
	}
	return made, err
}
