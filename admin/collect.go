package admin

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/burn"
)

// maxConcurrentCollects limits the routers that are read at the same time, and with
// them the memory for their responses.
const maxConcurrentCollects = 16

// CollectBurn reads the burn snapshots of all routers and merges them into a report.
// A router that cannot be read is listed as missing under its URL. ctx limits the
// complete collection.
func CollectBurn(ctx context.Context, now time.Time, routers []ClientOptions) *burn.Report {
	sources := make([]burn.Source, len(routers))
	var all errgroup.Group
	all.SetLimit(maxConcurrentCollects)
	for i, o := range routers {
		all.Go(func() error {
			sources[i] = collectFrom(ctx, o)
			return nil
		})
	}
	_ = all.Wait()
	return burn.NewReport(now, sources)
}

func collectFrom(ctx context.Context, o ClientOptions) burn.Source {
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
