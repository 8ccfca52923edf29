package claim

import (
	"errors"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// MaxKept bounds the rows whose deletion this process plans itself. Rows
	// beyond it, and rows of processes that have ended, are found by Expired.
	MaxKept = 32768

	// sweepAge exceeds Retention by the tolerated difference between the wall
	// clocks of two VMs.
	sweepAge = Retention + time.Hour

	// A batch that is not full waits this long for more rows.
	batchDelay       = 10 * time.Minute
	deleteRetryDelay = 30 * time.Second
)

type keptRow struct {
	row    storage.Row
	object string
	due    time.Time
}

// Deletions plans the deletion of rows whose retention has passed, in batches of
// one transaction. It has no I/O and is not safe for concurrent use.
type Deletions struct {
	// rows are sorted by due time, since all are kept for the same time.
	rows []keptRow
	// single holds rows of a batch that met a conflict. One changed row would
	// make its whole batch fail again.
	single    []keptRow
	open      bool
	notBefore time.Time
}

// Batch is one transaction of deletions. The objects are deleted before it.
type Batch struct {
	Rows    []storage.Row
	Objects []string

	kept   []keptRow
	single bool
}

// Keep plans the deletion of a row and its object after the retention. At the
// bound the row is left to the sweep.
func (d *Deletions) Keep(now time.Time, row storage.Row, object string) {
	d.add(keptRow{row: row, object: object, due: now.Add(Retention)})
}

// Expired plans the deletion of a row of any process that the sweep has read.
// The row is ignored if it is younger than the retention or malformed.
func (d *Deletions) Expired(now time.Time, row storage.Row) {
	r, err := DecodeRecord(row.Value)
	if err != nil || now.Sub(r.ClaimedAt) < sweepAge {
		return
	}
	k := keptRow{row: storage.Row{Key: row.Key, Revision: row.Revision}, due: now}
	if r.Outcome != nil {
		k.object = r.Outcome.Object
	}
	d.add(k)
}

func (d *Deletions) add(k keptRow) {
	if len(d.rows)+len(d.single) >= MaxKept {
		return
	}
	i := len(d.rows)
	for i > 0 && d.rows[i-1].due.After(k.due) {
		i--
	}
	d.rows = append(d.rows, keptRow{})
	copy(d.rows[i+1:], d.rows[i:])
	d.rows[i] = k
}

// Next returns the batch to delete now; false if there is none. It ends with one
// call of Result.
func (d *Deletions) Next(now time.Time) (Batch, bool) {
	if d.open || now.Before(d.notBefore) {
		return Batch{}, false
	}
	if len(d.single) > 0 {
		d.open = true
		b := newBatch(d.single[:1], true)
		d.single = d.single[1:]
		return b, true
	}
	n := 0
	for n < len(d.rows) && n < storage.MaxDeleteRows && !now.Before(d.rows[n].due) {
		n++
	}
	if n == 0 || n < storage.MaxDeleteRows && now.Sub(d.rows[0].due) < batchDelay {
		return Batch{}, false
	}
	d.open = true
	b := newBatch(d.rows[:n], false)
	d.rows = append([]keptRow(nil), d.rows[n:]...)
	return b, true
}

func newBatch(rows []keptRow, single bool) Batch {
	b := Batch{kept: append([]keptRow(nil), rows...), single: single}
	for _, k := range rows {
		b.Rows = append(b.Rows, k.row)
		if k.object != "" {
			b.Objects = append(b.Objects, k.object)
		}
	}
	return b
}

// Result reports the end of a batch. A single row that has changed or is gone is
// forgotten; after any other failure the rows are deleted later.
func (d *Deletions) Result(now time.Time, b Batch, err error) {
	d.open = false
	changed := errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrNotFound)
	switch {
	case err == nil, changed && b.single:
	case changed:
		d.single = append(d.single, b.kept...)
	default:
		// A batch with an unknown outcome conflicts when it is repeated, and its
		// rows are then tried one by one.
		d.notBefore = now.Add(deleteRetryDelay)
		d.rows = append(b.kept, d.rows...)
	}
}
