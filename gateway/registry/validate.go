package registry

import (
	"errors"
	"fmt"
	"net/netip"
)

// MaxSlots bounds the requests that one endpoint runs concurrently, so that sums over a site
// stay in range. Engines run some hundreds.
const MaxSlots = 1 << 20

// Errors of entries that name no endpoint to use.
var (
	errNoID    = errors.New("entry has no id")
	errAddress = errors.New("address cannot be connected to")
)

// Validate returns an error for an entry that names no endpoint to use. Other writers may put
// entries into the directory too.
func (e Entry) Validate() error {
	if e.ID == "" {
		return errNoID
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return err
	}
	if ip := address.Addr(); address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("%w: %s", errAddress, e.Address)
	}
	if e.Slots < 1 || e.Slots > MaxSlots {
		return fmt.Errorf("%d concurrent requests, allowed are 1 to %d", e.Slots, MaxSlots)
	}
	return nil
}
