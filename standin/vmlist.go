package standin

import (
	"cmp"
	"compress/gzip"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxVMs limits the VM list.
	maxVMs = 20_000
	// vmListVersions limits the past lists that are kept for VMListFaults.LagMS.
	vmListVersions = 256
)

// VM is one entry of the VM list.
type VM struct {
	Name             string `json:"name"`
	Role             string `json:"role"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"`
}

// Values of VM.Role and VM.State.
const (
	RoleRouter   = "router"
	RoleAgent    = "agent"
	StateLive    = "live"
	StateLeaving = "leaving"
)

func (v VM) validate() error {
	if v.Name == "" || v.Address == "" {
		return errors.New("standin: a VM has no name or no address")
	}
	if v.Role != RoleRouter && v.Role != RoleAgent {
		return errors.New("standin: a VM's role is neither router nor agent")
	}
	if v.State != StateLive && v.State != StateLeaving {
		return errors.New("standin: a VM's state is neither live nor leaving")
	}
	return nil
}

// VMListOptions configure a VM list. The zero value is usable.
type VMListOptions struct {
	// VMs is the initial list.
	VMs []VM
	// Faults are in effect from the start.
	Faults VMListFaults
}

// VMListFaults are the faults of a VM list. The zero value means none.
type VMListFaults struct {
	// LagMS is the age of the list that GET /vms returns.
	LagMS int `json:"lag_ms,omitempty"`
	// LatencyMS delays each read.
	LatencyMS int `json:"latency_ms,omitempty"`
	// Down is DownClose or DownUnavailable.
	Down string `json:"down,omitempty"`
}

func (f VMListFaults) validate() error {
	return cmp.Or(checkMilliseconds(f.LagMS, f.LatencyMS), validateDown(f.Down))
}

type vmDocument struct {
	VMs []VM `json:"vms"`
}

// VMList is a stand-in for the platform's VM list.
type VMList struct {
	mux *http.ServeMux

	mu     sync.Mutex
	faults VMListFaults
	lists  history[[]VM]
	reads  int
}

// NewVMList returns a VM list. It panics when the options are invalid.
func NewVMList(opts VMListOptions) *VMList {
	l := &VMList{mux: http.NewServeMux(), lists: history[[]VM]{limit: vmListVersions}}
	if err := cmp.Or(l.SetFaults(opts.Faults), validateVMs(opts.VMs)); err != nil {
		panic(err)
	}
	l.lists.set(time.Time{}, slices.Clone(opts.VMs))
	addFaultRoutes(l.mux, l.Faults, l.SetFaults)
	l.mux.HandleFunc("GET /vms", l.serveGet)
	l.mux.HandleFunc("PUT /vms", l.servePut)
	return l
}

// ServeHTTP serves the list's protocol.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

// Close does nothing; a VM list holds no resources.
func (l *VMList) Close() {}

// Faults returns the faults in effect.
func (l *VMList) Faults() VMListFaults {
	return readFaults(&l.mu, &l.faults)
}

// SetFaults replaces the faults.
func (l *VMList) SetFaults(f VMListFaults) error {
	return replaceFaults(&l.mu, &l.faults, f)
}

// Reads returns the number of calls of GET /vms.
func (l *VMList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Set replaces the list. Readers see the change after VMListFaults.LagMS.
func (l *VMList) Set(vms []VM) error {
	if err := validateVMs(vms); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists.set(time.Now(), slices.Clone(vms))
	return nil
}

// Update changes the newest list atomically. The function may modify and return
// its argument.
func (l *VMList) Update(change func([]VM) []VM) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := change(slices.Clone(l.lists.get(time.Now())))
	if err := validateVMs(vms); err != nil {
		return err
	}
	l.lists.set(time.Now(), vms)
	return nil
}

func validateVMs(vms []VM) error {
	if len(vms) > maxVMs {
		return errors.New("standin: the VM list is too long")
	}
	for _, vm := range vms {
		if err := vm.validate(); err != nil {
			return err
		}
	}
	return nil
}

// laggedList counts a read and returns the list as readers see it, with the faults
// in effect.
func (l *VMList) laggedList() ([]VM, VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return l.lists.get(time.Now().Add(-milliseconds(l.faults.LagMS))), l.faults
}

func (l *VMList) serveGet(w http.ResponseWriter, r *http.Request) {
	vms, faults := l.laggedList()
	time.Sleep(milliseconds(faults.LatencyMS))
	switch faults.Down {
	case DownClose:
		dropConnection()
	case DownUnavailable:
		writeError(w, http.StatusServiceUnavailable, "VM list is down")
		return
	}
	if vms == nil {
		vms = []VM{}
	}
	w.Header().Set("Vary", "Accept-Encoding")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeJSON(w, http.StatusOK, vmDocument{vms})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	if json.NewEncoder(z).Encode(vmDocument{vms}) != nil || z.Close() != nil {
		dropConnection()
	}
}

func (l *VMList) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	var document vmDocument
	if err == nil {
		err = json.Unmarshal(body, &document)
	}
	if err == nil {
		err = l.Set(document.VMs)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
