// Package admin implements the operators' JSON API, which each process serves on a
// separate listener, and a typed client for it. Health, readiness and metrics need
// no key; all other routes need an operator's key, whose hash is compared in
// constant time. Errors are JSON with a numbered result code.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/settings"
)

// CatalogStore reads and changes the stored catalog. *catalog.Store implements it.
type CatalogStore interface {
	Load(ctx context.Context, have uint64) (uint64, *catalog.Catalog, error)
	Put(ctx context.Context, now time.Time, change catalog.Change) (*catalog.Catalog, error)
	History(ctx context.Context, limit int) ([]catalog.HistoryEntry, error)
}

// CatalogInForce holds the catalog in force at this process, from which reads are
// served while the store is down. *catalog.Holder implements it. Current may return
// nil.
type CatalogInForce interface {
	Current() *catalog.Index
}

// StatusSource reports the status and the readiness of the process.
type StatusSource interface {
	Status() Status
	// Ready returns nil when the process accepts work, and otherwise the reason.
	Ready() error
}

// BurnSource returns the burn snapshot of the process. *burn.Recorder implements
// it.
type BurnSource interface {
	Snapshot(now time.Time) *burn.Snapshot
}

// Drainer starts a graceful shutdown that the named operator requested, and returns
// immediately. A repeated call has no effect.
type Drainer interface {
	Drain(operator string)
}

// State is the lifecycle state of a process.
type State string

const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Status is the response of GET /v1/status.
type Status struct {
	Role             settings.Role `json:"role"`
	Name             string        `json:"name"`
	Region           string        `json:"region"`
	AvailabilityZone string        `json:"availability_zone"`
	// Version is the build version.
	Version string `json:"version"`
	// Incarnation identifies this run of the process.
	Incarnation string `json:"incarnation"`
	// CatalogVersion is the version in force; 0 before the first version.
	CatalogVersion uint64 `json:"catalog_version"`
	State          State  `json:"state"`
}

// Options configure New. Status is required. Routes that need Store, Burn, Drain or
// Propagation exist only when it is set.
type Options struct {
	Status  StatusSource
	Catalog CatalogInForce
	Store   CatalogStore
	Burn    BurnSource
	Drain   Drainer
	// Propagation reports in which processes a catalog version is in force.
	Propagation PropagationSource
	// Metrics serves GET /metrics; if nil, the route does not exist.
	Metrics http.Handler
	// Operators lists the operators that may use the API; if empty, every key is
	// rejected.
	Operators []settings.Operator
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Source states where the catalog of a response was read.
type Source string

const (
	// SourceStore is the table service, which has the newest version.
	SourceStore Source = "store"
	// SourceMemory is the version in force at this process, which is returned while
	// the store cannot be read. A newer version may exist.
	SourceMemory Source = "memory"
)

// ProfilesResponse is the response of GET /v1/profiles.
type ProfilesResponse struct {
	Version  uint64            `json:"version"`
	Source   Source            `json:"source"`
	Profiles []catalog.Profile `json:"profiles"`
}

// ProfileResponse is the response of GET /v1/profiles/{name}. Version is the
// base_version for a change of the profile.
type ProfileResponse struct {
	Version uint64          `json:"version"`
	Source  Source          `json:"source"`
	Profile catalog.Profile `json:"profile"`
}

// PutProfileRequest is the body of PUT /v1/profiles/{name}.
type PutProfileRequest struct {
	Profile catalog.Profile `json:"profile"`
	// BaseVersion is the catalog version on which the change is based.
	BaseVersion uint64 `json:"base_version"`
	// ChangeID identifies the change; a retried put carries the same ID, so that the
	// change is applied once.
	ChangeID string `json:"change_id"`
}

// CatalogResponse is the response of GET /v1/catalog.
type CatalogResponse struct {
	Source  Source           `json:"source"`
	Catalog *catalog.Catalog `json:"catalog"`
}

// PutCatalogRequest is the body of PUT /v1/catalog. The version and change fields
// inside Catalog are ignored. The other fields have the same meaning as for a
// single profile.
type PutCatalogRequest struct {
	Catalog     catalog.Catalog `json:"catalog"`
	BaseVersion uint64          `json:"base_version"`
	ChangeID    string          `json:"change_id"`
}

// AcceptedChange is the response of a put: the catalog version that the change
// created.
type AcceptedChange struct {
	Version   uint64    `json:"version"`
	ChangeID  string    `json:"change_id"`
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
}

// HistoryResponse is the response of GET /v1/profiles/history, newest change first.
type HistoryResponse struct {
	Entries []catalog.HistoryEntry `json:"entries"`
}
