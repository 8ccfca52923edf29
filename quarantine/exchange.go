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
	// RowKey is the row of the table service through which processes exchange
	// evidence.
	RowKey = "quarantine/records"

	// maxShared bounds the records in the row, newest first, which keeps it below
	// 100 KB.
	maxShared = 256

	publishTries   = 4
	publishTimeout = 5 * time.Second
)

// Rows is what an Exchange needs of the table service; platform.Rows is one.
type Rows interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
}

// Exchange passes evidence on through the table service.
type Exchange struct {
	rows Rows
}

// NewExchange returns an Exchange over the table service.
func NewExchange(rows Rows) *Exchange {
	return &Exchange{rows: rows}
}

type sharedRecords struct {
	Records []Record `json:"records"`
}

// Read returns the shared evidence; none without a row.
func (x *Exchange) Read(ctx context.Context) ([]Record, error) {
	records, _, err := x.read(ctx)
	return records, err
}

func (x *Exchange) read(ctx context.Context) ([]Record, storage.Revision, error) {
	row, err := x.rows.Get(ctx, RowKey)
	if errors.Is(err, storage.ErrNotFound) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	var shared sharedRecords
	if err := json.Unmarshal(row.Value, &shared); err != nil {
		return nil, "", fmt.Errorf("decode %s: %w", RowKey, err)
	}
	return shared.Records, row.Revision, nil
}

// Publish adds evidence to the row. A conflict with another writer is retried a
// few times; evidence that cannot be published still travels with refusals.
func (x *Exchange) Publish(ctx context.Context, now time.Time, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var err error
	for range publishTries {
		if err = x.publish(ctx, now, records); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (x *Exchange) publish(ctx context.Context, now time.Time, records []Record) error {
	shared, revision, err := x.read(ctx)
	if err != nil {
		return err
	}
	table := New()
	table.Merge(now, shared)
	table.Merge(now, records)
	value, err := json.Marshal(sharedRecords{Records: newest(table.Records(now))})
	if err != nil {
		return fmt.Errorf("encode %s: %w", RowKey, err)
	}
	_, err = x.rows.Put(ctx, RowKey, value, revision)
	return err
}

// newest returns the records of the latest crashes, condemned ones first.
func newest(records []Record) []Record {
	slices.SortStableFunc(records, func(a, b Record) int {
		if a.Condemned() != b.Condemned() {
			if a.Condemned() {
				return -1
			}
			return 1
		}
		return b.Last.Compare(a.Last)
	})
	return records[:min(len(records), maxShared)]
}
