package storage

import (
	"context"
	"fmt"
	"net/http"
)

// Role is what a VM runs.
type Role string

// Roles of VMs.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// VMState is a VM's state as the platform reports it, with a lag.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is the IP address and port of the VM's process.
	Address          string  `json:"address"`
	Region           string  `json:"region"`
	AvailabilityZone string  `json:"availability_zone"`
	State            VMState `json:"state"`
}

// 2,000 entries of about 200 bytes each fit twice.
const maxVMListBytes = 1 << 20

// VMList is a client of the platform's VM list. It is safe for concurrent use.
type VMList struct {
	caller Caller
}

// NewVMList returns a client; it opens no connection yet.
func NewVMList(o Options) *VMList {
	return &VMList{caller: NewCaller(o)}
}

type vmListAnswer struct {
	VMs []VM `json:"vms"`
}

// List returns all VMs. The list lags behind reality by seconds. Errors:
// ErrUnavailable, ErrTooLarge.
func (l *VMList) List(ctx context.Context) ([]VM, error) {
	a, err := l.caller.Do(ctx, Call{Operation: OpVMList, Method: http.MethodGet, Path: "/vms", Limit: maxVMListBytes})
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	var list vmListAnswer
	if err := Decode(a.Body, &list); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return list.VMs, nil
}
