package storage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

const (
	// MaxListRows bounds one page of Table.List.
	MaxListRows = 100
	// MaxDeleteRows bounds one transaction of Table.DeleteBatch.
	MaxDeleteRows = 25

	// A page holds at most this many bytes of JSON; a service that stores larger
	// rows answers with fewer of them.
	maxListBytes = 8 << 20
	maxAckBytes  = 4 << 10
)

// Table is a client of the transactional table service. It is safe for
// concurrent use.
type Table struct {
	caller caller
}

// NewTable returns a client; it opens no connection yet.
func NewTable(o Options) *Table {
	return &Table{caller: newCaller(o)}
}

// Get reads one row. Errors: ErrNotFound, ErrUnavailable, ErrTooLarge.
func (t *Table) Get(ctx context.Context, key string) (Row, error) {
	path, err := keyPath("/rows/", key)
	if err != nil {
		return Row{}, err
	}
	a, err := t.caller.do(ctx, call{operation: OpTableGet, method: http.MethodGet, path: path, limit: MaxValueBytes})
	if err != nil {
		return Row{}, fmt.Errorf("get row %s: %w", key, err)
	}
	if a.revision() == "" {
		return Row{}, fmt.Errorf("get row %s: %w: answer without ETag", key, ErrUnavailable)
	}
	return Row{Key: key, Value: a.body, Revision: a.revision()}, nil
}

// Put writes the row if its revision is still the expected one; the empty
// revision means that the row must not exist. Errors: ErrConflict and
// ErrUnavailable without effect, ErrOutcomeUnknown.
func (t *Table) Put(ctx context.Context, key string, value []byte, expected Revision) (Row, error) {
	path, err := keyPath("/rows/", key)
	if err != nil {
		return Row{}, err
	}
	if len(value) > MaxValueBytes {
		return Row{}, fmt.Errorf("put row %s: %w: %d bytes, at most %d", key, ErrRejected, len(value), MaxValueBytes)
	}
	header := http.Header{"If-Match": {quoted(expected)}}
	if expected == "" {
		header = http.Header{"If-None-Match": {"*"}}
	}
	a, err := t.caller.do(ctx, call{
		operation: OpTablePut, method: http.MethodPut, path: path, header: header, body: value, write: true, limit: maxAckBytes,
	})
	if err != nil {
		return Row{}, fmt.Errorf("put row %s: %w", key, err)
	}
	if a.revision() == "" {
		return Row{}, fmt.Errorf("put row %s: %w: answer without ETag", key, ErrOutcomeUnknown)
	}
	return Row{Key: key, Value: value, Revision: a.revision()}, nil
}

type listedRow struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

type listAnswer struct {
	Rows []listedRow `json:"rows"`
	Next string      `json:"next"`
}

// List returns rows whose keys start with prefix, in key order, strictly after
// the key after, at most limit of them (at most MaxListRows). A non-empty next
// is the value of after for the next page.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) (rows []Row, next string, err error) {
	limit = min(max(limit, 1), MaxListRows)
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	a, err := t.caller.do(ctx, call{operation: OpTableList, method: http.MethodGet, path: "/rows", query: query, limit: maxListBytes})
	if err != nil {
		return nil, "", fmt.Errorf("list rows %s: %w", prefix, err)
	}
	var page listAnswer
	if err := decodeAnswer(a.body, &page); err != nil {
		return nil, "", fmt.Errorf("list rows %s: %w", prefix, err)
	}
	for _, r := range page.Rows {
		rows = append(rows, Row(r))
	}
	return rows, page.Next, nil
}

type deletedRow struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

type deleteRequest struct {
	Rows []deletedRow `json:"rows"`
}

// DeleteBatch deletes the rows in one transaction if each still has its given
// revision; values are ignored. At most MaxDeleteRows rows. Errors: ErrConflict
// and ErrUnavailable without effect, ErrOutcomeUnknown.
func (t *Table) DeleteBatch(ctx context.Context, rows []Row) error {
	if len(rows) > MaxDeleteRows {
		return fmt.Errorf("delete rows: %w: %d rows, at most %d", ErrRejected, len(rows), MaxDeleteRows)
	}
	var request deleteRequest
	for _, r := range rows {
		request.Rows = append(request.Rows, deletedRow{Key: r.Key, Revision: r.Revision})
	}
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("delete rows: %w", err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	_, err = t.caller.do(ctx, call{
		operation: OpTableDelete, method: http.MethodPost, path: "/rows:delete", header: header, body: body, write: true, limit: maxAckBytes,
	})
	if err != nil {
		return fmt.Errorf("delete rows: %w", err)
	}
	return nil
}
