package demo_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/standin"
)

// Guards against an accepted catalog change that no process adopts because the store
// goes down right after the write: the router that accepted it must pass it on.
func TestChangeSpreadsWhileTheStoreIsDown(t *testing.T) {
	site, err := demo.Start(t.Context(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	client, err := admin.NewClient(admin.ClientOptions{
		URL: "http://" + site.Routers[0].AdminAddress(), Key: demo.OperatorKey,
	})
	if err != nil {
		t.Fatal(err)
	}
	profile := demo.Catalog().Profiles[1]
	profile.Target.FirstTokenMS = 2000
	put := &admin.PutProfileRequest{Profile: profile, BaseVersion: 1}
	accepted, err := client.PutProfile(t.Context(), put)
	if err != nil {
		t.Fatal(err)
	}
	if err := site.Table.SetFaults(standin.TableFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !inForceEverywhere(site, accepted.Version) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("versions in force %v, want %d everywhere", site.CatalogVersions(), accepted.Version)
		}
	}
}

func inForceEverywhere(site *demo.Site, version uint64) bool {
	for _, v := range site.CatalogVersions() {
		if v < version {
			return false
		}
	}
	return true
}
