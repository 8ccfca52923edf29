package storage

import (
	"context"
	"fmt"
	"net/http"
)

// Role is the kind of process that a VM runs.
type Role string

// VM roles.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// VMState is the state of a VM as the platform reports it. It lags behind the
// actual state.
type VMState string

// VM states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is the IP address and port on which the VM's process listens.
	Address          string  `json:"address"`
	Region           string  `json:"region"`
	AvailabilityZone string  `json:"availability_zone"`
	State            VMState `json:"state"`
}

// maxVMListBytes is more than twice the size of 2,000 entries of about 200 bytes
// each.
const maxVMListBytes = 1 << 20

// VMList is a client of the platform's VM list. It is safe for concurrent use.
type VMList struct {
	client ServiceClient
}

// NewVMList returns a client. It opens no connection until the first call.
func NewVMList(o Options) *VMList {
	return &VMList{client: NewServiceClient(o)}
}

type vmListResponse struct {
	VMs []VM `json:"vms"`
}

// List returns all VMs. The platform updates the list with a delay of seconds.
// Errors are those of ServiceClient.Do for a read.
func (l *VMList) List(ctx context.Context) ([]VM, error) {
	resp, err := l.client.Do(ctx, Request{Operation: OpVMList, Method: http.MethodGet, Path: "/vms", MaxResponseBytes: maxVMListBytes})
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	var list vmListResponse
	if err := DecodeJSON(resp.Body, &list); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return list.VMs, nil
}
