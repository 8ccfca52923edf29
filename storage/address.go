package storage

import (
	"errors"
	"fmt"
	"net/netip"
)

// errAddress is returned for an address that names no process to connect to.
var errAddress = errors.New("address cannot be connected to")

// CheckAddress returns an error for an address of an entry that is not IP:PORT, or to which no
// connection can lead: one with the port 0, or that of no single machine.
func CheckAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if ip := parsed.Addr(); parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("%w: %s", errAddress, address)
	}
	return nil
}
