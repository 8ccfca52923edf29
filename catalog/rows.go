package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

// Table is what the store needs of the table service; platform.Rows is one.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
	List(ctx context.Context, prefix, after string, limit int) (rows []storage.Row, next string, err error)
	DeleteBatch(ctx context.Context, rows []storage.Row) error
}

// Rows of the catalog. The row catalog/current names the version in force and
// is the only row that is ever replaced; replacing it puts a change into force.
// Documents and history rows are written before it, so that a crash between the
// writes leaves a proposal that no later version refers to, and never a version
// without its document or its history entry.
const (
	currentKey    = "catalog/current"
	bodyPrefix    = "catalog/body/"
	historyPrefix = "catalog/history/"

	// HistoryVersions is the number of versions whose history is kept.
	HistoryVersions = 1000

	// Documents of older versions serve only processes that read a lagging
	// catalog/current row.
	keptBodies = 16

	// Documents are large; a page of them must fit one answer of the table.
	bodyPageRows = 8
)

// Entry describes one accepted change.
type Entry struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Parent is the change that made the version before; empty for the first.
	Parent string    `json:"parent,omitempty"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
	// What lists the changed fields, at most 32. The row catalog/current leaves it
	// out: every process reads that row every 4 s, and the list can have 14 KB.
	What []Difference `json:"what,omitempty"`
}

// versionKey sorts rows of higher versions first.
func versionKey(prefix string, version uint64, changeID string) string {
	return fmt.Sprintf("%s%020d-%s", prefix, math.MaxUint64-version, changeID)
}

// current is the decoded row catalog/current; its zero value means no row.
type current struct {
	entry Entry
	row   storage.Row
}

func decodeEntry(row storage.Row) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return Entry{}, fmt.Errorf("row %s is malformed: %w", row.Key, err)
	}
	return e, nil
}
