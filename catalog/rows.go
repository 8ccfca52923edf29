package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

// Table is the part of the table service that a Store uses. The client in package
// platform implements it. Its errors are those of package storage.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
	List(ctx context.Context, prefix, after string, limit int) (rows []storage.Row, next string, err error)
	DeleteBatch(ctx context.Context, rows []storage.Row) error
}

// Keys of the catalog rows. The row catalog/current names the version in force. It
// is the only row that is ever replaced, and replacing it puts a change into force.
// The document and the history row are written before it, so that a crash between
// the writes leaves a proposal that no later version refers to, and never a version
// without its document or history entry.
const (
	currentKey     = "catalog/current"
	documentPrefix = "catalog/body/"
	historyPrefix  = "catalog/history/"

	// HistoryVersions is the number of versions whose history entries are kept.
	HistoryVersions = 1000

	// keptDocuments is the number of versions whose documents are kept. Only
	// processes that read a lagging catalog/current row need those of older versions.
	keptDocuments = 16

	// documentPageRows is the page size of listings of documents. Documents are
	// large, and a page must fit into one response of the table service.
	documentPageRows = 8
)

// HistoryEntry is the history entry of one change. The row of the version in force has the
// same form.
type HistoryEntry struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Parent is the ID of the change that made the previous version; empty for the
	// first version.
	Parent string `json:"parent,omitempty"`
	// By is the operator who made the change.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Differences lists the changed fields, at most 32. It is omitted in the row
	// catalog/current, because every process reads that row every 4 s and the list
	// can take 14 KB.
	Differences []Difference `json:"what,omitempty"`
}

// versionKey returns the key of the row of a version and change. Rows of higher
// versions sort first.
func versionKey(prefix string, version uint64, changeID string) string {
	return fmt.Sprintf("%s%020d-%s", prefix, math.MaxUint64-version, changeID)
}

// currentRow is the decoded row catalog/current. The zero value means that the row
// does not exist.
type currentRow struct {
	entry HistoryEntry
	row   storage.Row
}

func decodeEntry(row storage.Row) (HistoryEntry, error) {
	var e HistoryEntry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return HistoryEntry{}, fmt.Errorf("row %s is malformed: %w", row.Key, err)
	}
	return e, nil
}
