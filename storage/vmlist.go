package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
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
	client    ServiceClient
	onLeftOut func(entry string, cause error)

	mu sync.Mutex
	// leftOut holds the entries that the last listing left out.
	leftOut map[string]struct{}
}

// NewVMList returns a client. It opens no connection until the first call.
func NewVMList(o Options) *VMList {
	return &VMList{client: NewServiceClient(o)}
}

// WithLeftOut returns a copy of the client that passes each entry that it leaves out, cut at
// maxReportedBytes, to f, but not again while the list keeps it.
func (l *VMList) WithLeftOut(f func(entry string, cause error)) *VMList {
	return &VMList{client: l.client, onLeftOut: f}
}

// validate returns an error for an entry that names no VM to connect to.
func (v VM) validate() error {
	if v.Name == "" {
		return errors.New("entry has no name")
	}
	return CheckAddress(v.Address)
}

// decodeVM decodes and checks one entry of the list.
func decodeVM(text []byte) (VM, error) {
	var vm VM
	if err := json.Unmarshal(text, &vm); err != nil {
		return VM{}, err
	}
	return vm, vm.validate()
}

// List returns all VMs. The platform updates the list with a delay of seconds. An entry that
// names no VM to connect to is left out: other writers may put entries into the list. Errors
// are those of ServiceClient.Do for a read.
func (l *VMList) List(ctx context.Context) ([]VM, error) {
	resp, err := l.client.Do(ctx, Request{Operation: OpVMList, Method: http.MethodGet, Path: "/vms", MaxResponseBytes: maxVMListBytes})
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	entries, err := Elements(resp.Body, "vms")
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w: malformed answer: %v", ErrUnavailable, err)
	}
	vms := make([]VM, 0, len(entries))
	leftOut := make(map[string]struct{})
	for _, text := range entries {
		vm, err := decodeVM(text)
		if err != nil {
			l.reportLeftOut(leftOut, text, err)
			continue
		}
		vms = append(vms, vm)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leftOut = leftOut
	return vms, nil
}

// maxReported bounds the entries that are reported as left out, and the bytes of each.
const (
	maxReported      = 64
	maxReportedBytes = 200
)

// reportLeftOut reports an entry that is left out, unless the last listing had it as well.
func (l *VMList) reportLeftOut(leftOut map[string]struct{}, text []byte, cause error) {
	if len(leftOut) >= maxReported {
		return
	}
	entry := string(text[:min(len(text), maxReportedBytes)])
	leftOut[entry] = struct{}{}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.leftOut[entry]; !known && l.onLeftOut != nil {
		l.onLeftOut(entry, cause)
	}
}
