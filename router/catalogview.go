package router

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// confirmTimeout bounds how long a request waits for the confirmation of the
// catalog version after this process was paused or cut off.
const confirmTimeout = 2 * time.Second

// catalogView is the router's part of the catalog.
type catalogView struct {
	holder      *catalog.Holder
	store       *catalog.Store
	client      *dispatch.Client
	seed        uint64
	distributor *catalog.Distributor
}

func newCatalogView(store *catalog.Store, client *dispatch.Client, seed uint64) *catalogView {
	return &catalogView{holder: catalog.NewHolder(), store: store, client: client, seed: seed}
}

// start makes the distributor; peers lists the agents to ask while the store is
// down.
func (v *catalogView) start(peers func() []string, adopted func(catalog.Source)) {
	v.distributor = catalog.NewDistributor(catalog.DistributorOptions{
		Store:    v.store,
		Peers:    catalog.NewAgentClient(v.client.URL, v.client.HTTPClient()),
		Holder:   v.holder,
		PeerList: peers,
		Seed:     v.seed,
		Adopted:  adopted,
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

// Seen notes the version of an agent.
func (v *catalogView) Seen(version uint64, peer string) { v.distributor.Seen(version, peer) }

// Confirmed returns nil when the version in force was confirmed lately, after a
// bounded wait if necessary.
func (v *catalogView) Confirmed(ctx context.Context) *resultcode.Error {
	if v.holder.Fresh(time.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := v.distributor.Refresh(ctx); err != nil {
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

// FetchCatalog serves other processes; it implements rpc.Router.
func (v *catalogView) FetchCatalog(_ context.Context, req *rpc.FetchCatalogRequest) (*rpc.CatalogSnapshot, error) {
	return catalog.SnapshotMessage(v.holder, req.GetHaveVersion()), nil
}

// adoptingStore is the catalog in the table service as the admin API uses it. An
// accepted change is in force in this router at once, so that its peers learn of
// it also when the store goes down right after the write.
type adoptingStore struct {
	*catalog.Store
	holder *catalog.Holder
}

// Put writes a change and adopts the version that it made.
func (s adoptingStore) Put(ctx context.Context, now time.Time, change catalog.Change) (*catalog.Catalog, error) {
	asked := time.Now()
	made, err := s.Store.Put(ctx, now, change)
	if err == nil && len(made.Profiles) > 0 {
		s.holder.Adopt(asked, made)
	}
	return made, err
}
