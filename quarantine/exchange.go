package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// RowKey is the key of the row in the table service through which processes
	// share evidence.
	RowKey = "quarantine/records"

	// maxSharedRecords is the largest number of records in the row. It keeps the row
	// below 100 KB.
	maxSharedRecords = 256

	// publishAttempts and publishTimeout bound one Publish, whose write may conflict
	// with those of other processes.
	publishAttempts = 4
	publishTimeout  = 5 * time.Second
)

// Table is the part of the table service that an Exchange uses. The client in
// package platform implements it. Its errors are those of package storage.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
}

// Exchange shares evidence between processes through one row of the table service.
type Exchange struct {
	table Table
}

// NewExchange returns an Exchange that uses the given table client.
func NewExchange(table Table) *Exchange {
	return &Exchange{table: table}
}

type sharedRecords struct {
	Records []Record `json:"records"`
}

// errMalformed is returned for a row that another writer may have left.
var errMalformed = errors.New("malformed row")

// Read returns the shared evidence, without the records that cannot be decoded: the next
// Publish replaces them. If the row does not exist there is none. Errors are those of the
// table.
func (x *Exchange) Read(ctx context.Context) ([]Record, error) {
	records, _, err := x.read(ctx)
	if errors.Is(err, errMalformed) {
		return records, nil
	}
	return records, err
}

func (x *Exchange) read(ctx context.Context) ([]Record, storage.Revision, error) {
	row, err := x.table.Get(ctx, RowKey)
	if errors.Is(err, storage.ErrNotFound) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	records, err := decodeRecords(row.Value)
	return records, row.Revision, err
}

// decodeRecords returns the records that can be decoded, and an error if the row, or one of
// its records, cannot be.
func decodeRecords(value []byte) ([]Record, error) {
	texts, failed := storage.Elements(value, "records")
	var records []Record
	for _, text := range texts {
		var r Record
		if err := json.Unmarshal(text, &r); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		records = append(records, r)
	}
	if failed != nil {
		return records, fmt.Errorf("%w: %s: %w", errMalformed, RowKey, failed)
	}
	return records, nil
}

// Publish merges evidence into the row. It repeats a failed attempt, such as one
// that conflicts with another writer, up to three times within 5 s, and returns the
// last error. Evidence that cannot be published still reaches other processes with the
// refusals of requests.
func (x *Exchange) Publish(ctx context.Context, now time.Time, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var err error
	for range publishAttempts {
		if err = x.publish(ctx, now, records); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (x *Exchange) publish(ctx context.Context, now time.Time, records []Record) error {
	shared, revision, err := x.read(ctx)
	if err != nil && !errors.Is(err, errMalformed) {
		return err
	}
	tracker := NewTracker()
	tracker.Merge(now, shared)
	tracker.Merge(now, records)
	value, err := json.Marshal(sharedRecords{Records: selectShared(tracker.Records(now))})
	if err != nil {
		return fmt.Errorf("encode %s: %w", RowKey, err)
	}
	_, err = x.table.Put(ctx, RowKey, value, revision)
	return err
}

// selectShared returns at most maxSharedRecords records: condemned ones first, then
// by the time of the last crash, latest first.
func selectShared(records []Record) []Record {
	slices.SortStableFunc(records, func(a, b Record) int {
		if a.Condemned() != b.Condemned() {
			if a.Condemned() {
				return -1
			}
			return 1
		}
		return b.Last.Compare(a.Last)
	})
	return records[:min(len(records), maxSharedRecords)]
}
