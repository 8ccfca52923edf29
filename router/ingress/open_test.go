package ingress

import (
	"testing"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Guards against an urgent request that is refused because requests of lower
// tiers or of one account fill the router.
func TestLowerTiersLeaveRoomForUrgent(t *testing.T) {
	const bound = 8
	var open openRequests
	profile := func(tier int) *catalog.Profile { return &catalog.Profile{Name: "p", Tier: tier} }
	fill := func(tier int) int {
		n := 0
		for range 3 * bound {
			if _, err := open.place(bound, "a", profile(tier)); err == nil {
				n++
			}
		}
		return n
	}
	if n := fill(catalog.TierBatch); n != bound/2 {
		t.Errorf("%d batch requests placed, want %d", n, bound/2)
	}
	if n := fill(catalog.TierStandard); n != bound/4 {
		t.Errorf("%d standard requests placed beside batch, want %d", n, bound/4)
	}
	if n := fill(catalog.TierUrgent); n != bound {
		t.Errorf("%d urgent requests placed, want the whole bound %d", n, bound)
	}
}

// Guards against an account's limit that is not freed, or that counts another
// account's requests.
func TestAccountLimit(t *testing.T) {
	var open openRequests
	p := &catalog.Profile{Name: "p", Limits: catalog.Limits{MaxOpenPerAccount: 1}}
	remove, err := open.place(10, "a", p)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := open.place(10, "a", p); err == nil || err.Code != resultcode.AccountLimit {
		t.Errorf("second request of the account: %v", err)
	}
	if _, err := open.place(10, "b", p); err != nil {
		t.Errorf("another account: %v", err)
	}
	remove()
	if _, err := open.place(10, "a", p); err != nil {
		t.Errorf("after the first has ended: %v", err)
	}
}
