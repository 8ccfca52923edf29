package registry

import (
	"errors"
	"fmt"

	"github.com/pistachiowind/pistachiowind/storage"
)

// MaxSlots bounds the requests that one endpoint runs concurrently, so that sums over a site
// stay in range. Engines run some hundreds.
const MaxSlots = 1 << 20

// errNoID is returned for an entry that names no endpoint.
var errNoID = errors.New("entry has no id")

// Validate returns an error for an entry that names no endpoint to use. Other writers may put
// entries into the directory too.
func (e Entry) Validate() error {
	if e.ID == "" {
		return errNoID
	}
	if err := storage.CheckAddress(e.Address); err != nil {
		return err
	}
	if e.Slots < 1 || e.Slots > MaxSlots {
		return fmt.Errorf("%d concurrent requests, allowed are 1 to %d", e.Slots, MaxSlots)
	}
	return nil
}
