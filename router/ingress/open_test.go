package ingress

import (
	"testing"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Guards against an urgent request that is refused because the router has many
// open requests of lower tiers or of one client account.
func TestLowerTiersLeaveRoomForUrgent(t *testing.T) {
	const maxOpen = 8
	var open openRequests
	profile := func(tier int) *catalog.Profile { return &catalog.Profile{Name: "p", Tier: tier} }
	fill := func(tier int) int {
		n := 0
		for range 3 * maxOpen {
			if _, err := open.reserve(maxOpen, "a", profile(tier)); err == nil {
				n++
			}
		}
		return n
	}
	if n := fill(catalog.TierBatch); n != maxOpen/2 {
		t.Errorf("%d batch requests admitted, want %d", n, maxOpen/2)
	}
	if n := fill(catalog.TierStandard); n != maxOpen/4 {
		t.Errorf("%d standard requests admitted beside batch, want %d", n, maxOpen/4)
	}
	if n := fill(catalog.TierUrgent); n != maxOpen {
		t.Errorf("%d urgent requests admitted, want the maximum %d", n, maxOpen)
	}
}

// Guards against an ended request that still counts against its account's
// limit, and against a limit that counts another account's requests.
func TestAccountLimit(t *testing.T) {
	var open openRequests
	p := &catalog.Profile{Name: "p", Limits: catalog.Limits{MaxOpenPerAccount: 1}}
	release, err := open.reserve(10, "a", p)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := open.reserve(10, "a", p); err == nil || err.Code != resultcode.AccountLimit {
		t.Errorf("second request of the account: %v", err)
	}
	if _, err := open.reserve(10, "b", p); err != nil {
		t.Errorf("another account: %v", err)
	}
	release()
	if _, err := open.reserve(10, "a", p); err != nil {
		t.Errorf("after the first has ended: %v", err)
	}
}
