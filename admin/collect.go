package admin

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/burn"
)

// maxCollect bounds the routers that are read at the same time, and with it
// the memory for their answers.
const maxCollect = 16

// CollectBurn reads the snapshots of all routers and merges them. The name of
// a router that cannot be read is its URL. ctx bounds the whole collection.
func CollectBurn(ctx context.Context, now time.Time, routers []ClientOptions) *burn.Report {
	sources := make([]burn.Source, len(routers))
	var all errgroup.Group
	all.SetLimit(maxCollect)
	for i, o := range routers {
		all.Go(func() error {
			sources[i] = collect(ctx, o)
			return nil
		})
	}
	_ = all.Wait()
	return burn.NewReport(now, sources)
}

func collect(ctx context.Context, o ClientOptions) burn.Source {
	c, err := NewClient(o)
	if err != nil {
		return burn.Source{Router: o.URL, Err: err}
	}
	defer c.Close()
	snapshot, err := c.Burn(ctx)
	if err != nil {
		return burn.Source{Router: o.URL, Err: err}
	}
	return burn.Source{Router: snapshot.Router, Snapshot: snapshot}
}
