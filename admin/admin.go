// Package admin serves the operators' JSON API on a listener of its own and
// holds the typed client for it. Health, readiness and metrics need no key;
// everything else needs an operator's key, which is compared by its hash in
// constant time. Errors are JSON with the numbered result code.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/settings"
)

// CatalogStore reads and changes the catalog; *catalog.Store is one.
type CatalogStore interface {
	Load(ctx context.Context, have uint64) (uint64, *catalog.Catalog, error)
	Put(ctx context.Context, now time.Time, change catalog.Change) (*catalog.Catalog, error)
	History(ctx context.Context, limit int) ([]catalog.HistoryEntry, error)
}

// CatalogInForce is the catalog of this process; *catalog.Holder is one. It
// answers reads while the store is down. Current may return nil.
type CatalogInForce interface {
	Current() *catalog.Index
}

// StatusSource describes the process.
type StatusSource interface {
	Status() Status
	// Ready returns nil when the process accepts work, and otherwise why not.
	Ready() error
}

// BurnSource gives the burn snapshot of the process; *burn.Recorder is one.
type BurnSource interface {
	Snapshot(now time.Time) *burn.Snapshot
}

// Drainer starts a graceful shutdown and returns at once. A repeated call has
// no effect.
type Drainer interface {
	Drain(operator string)
}

// State is the state of a process.
type State string

const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Status is the answer of GET /v1/status.
type Status struct {
	Role             settings.Role `json:"role"`
	Name             string        `json:"name"`
	Region           string        `json:"region"`
	AvailabilityZone string        `json:"availability_zone"`
	// Version is the build version.
	Version string `json:"version"`
	// Incarnation identifies this run of the process.
	Incarnation string `json:"incarnation"`
	// CatalogVersion is the version in force; 0 before the first.
	CatalogVersion uint64 `json:"catalog_version"`
	State          State  `json:"state"`
}

// Options configure New. Status is required. Without Store, Burn or Drain the
// routes that need them do not exist.
type Options struct {
	Status  StatusSource
	Catalog CatalogInForce
	Store   CatalogStore
	Burn    BurnSource
	Drain   Drainer
	// Propagation answers where a catalog version is in force.
	Propagation PropagationSource
	// Metrics serves GET /metrics; nil means no such route.
	Metrics http.Handler
	// Operators may use the API; without any it refuses all keys.
	Operators []settings.Operator
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Source says where an answer about the catalog was read.
type Source string

const (
	// SourceStore is the version in force for the whole site.
	SourceStore Source = "store"
	// SourceMemory is the version in force at this process, given while the
	// store cannot be read. A newer one may exist.
	SourceMemory Source = "memory"
)

// ProfileList is the answer of GET /v1/profiles.
type ProfileList struct {
	Version  uint64            `json:"version"`
	Source   Source            `json:"source"`
	Profiles []catalog.Profile `json:"profiles"`
}

// ProfileAt is the answer of GET /v1/profiles/{name}. Version is the
// base_version for a change.
type ProfileAt struct {
	Version uint64          `json:"version"`
	Source  Source          `json:"source"`
	Profile catalog.Profile `json:"profile"`
}

// PutProfile is the body of PUT /v1/profiles/{name}.
type PutProfile struct {
	Profile catalog.Profile `json:"profile"`
	// BaseVersion is the catalog version that the operator saw.
	BaseVersion uint64 `json:"base_version"`
	// ChangeID identifies the change; a repeated put carries the same one.
	ChangeID string `json:"change_id"`
}

// CatalogAt is the answer of GET /v1/catalog.
type CatalogAt struct {
	Source  Source           `json:"source"`
	Catalog *catalog.Catalog `json:"catalog"`
}

// PutCatalog is the body of PUT /v1/catalog. The version and change fields
// inside Catalog are ignored.
type PutCatalog struct {
	Catalog     catalog.Catalog `json:"catalog"`
	BaseVersion uint64          `json:"base_version"`
	ChangeID    string          `json:"change_id"`
}

// Accepted is the answer of a put: the version that the change made.
type Accepted struct {
	Version   uint64    `json:"version"`
	ChangeID  string    `json:"change_id"`
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
}

// History is the answer of GET /v1/profiles/history, newest first.
type History struct {
	Entries []catalog.HistoryEntry `json:"entries"`
}
