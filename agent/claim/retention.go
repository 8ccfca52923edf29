package claim

import (
	"errors"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// MaxPlannedDeletions bounds the rows whose deletion this process plans itself.
	// The sweep finds the rows beyond it and those of processes that have ended.
	MaxPlannedDeletions = 32768

	// sweepAge exceeds Retention by the tolerated difference between the wall
	// clocks of two VMs.
	sweepAge = Retention + time.Hour

	// batchDelay is how long a batch that is not full waits for more rows.
	batchDelay       = 10 * time.Minute
	deleteRetryDelay = 30 * time.Second
)

// plannedDeletion is a row that is to be deleted with its object when it is due.
type plannedDeletion struct {
	row    storage.Row
	object string
	due    time.Time
}

// Deletions plans the deletion of rows whose retention has passed, in batches of
// one transaction. It has no I/O and is not safe for concurrent use.
type Deletions struct {
	// planned is sorted by due time. New rows are appended near its end, since all
	// rows are retained for the same time.
	planned []plannedDeletion
	// retrySingly holds the rows of a batch that failed with a conflict. They are deleted
	// one by one, because one changed row would make the whole batch fail again.
	retrySingly []plannedDeletion
	inFlight    bool
	notBefore   time.Time
}

// Batch is one transaction of deletions. The caller deletes the objects before the
// rows.
type Batch struct {
	Rows    []storage.Row
	Objects []string

	planned []plannedDeletion
	single  bool
}

// PlanAfterRetention plans the deletion of a row and its object after the
// retention. At MaxPlannedDeletions the row is left to the sweep.
func (d *Deletions) PlanAfterRetention(now time.Time, row storage.Row, object string) {
	d.add(plannedDeletion{row: row, object: object, due: now.Add(Retention)})
}

// PlanExpired plans the deletion of a row that the sweep has read, of any process.
// The row is ignored if its retention has not passed or if it is malformed.
func (d *Deletions) PlanExpired(now time.Time, row storage.Row) {
	r, err := DecodeRecord(row.Value)
	if err != nil || now.Sub(r.ClaimedAt) < sweepAge {
		return
	}
	deletion := plannedDeletion{row: storage.Row{Key: row.Key, Revision: row.Revision}, due: now}
	if r.Outcome != nil {
		deletion.object = r.Outcome.Object
	}
	d.add(deletion)
}

func (d *Deletions) add(deletion plannedDeletion) {
	if len(d.planned)+len(d.retrySingly) >= MaxPlannedDeletions {
		return
	}
	i := len(d.planned)
	for i > 0 && d.planned[i-1].due.After(deletion.due) {
		i--
	}
	d.planned = append(d.planned, plannedDeletion{})
	copy(d.planned[i+1:], d.planned[i:])
	d.planned[i] = deletion
}

// Next returns the batch to delete now; false if there is none. The caller reports
// its result by one call of Result.
func (d *Deletions) Next(now time.Time) (Batch, bool) {
	if d.inFlight || now.Before(d.notBefore) {
		return Batch{}, false
	}
	if len(d.retrySingly) > 0 {
		d.inFlight = true
		b := newBatch(d.retrySingly[:1], true)
		d.retrySingly = d.retrySingly[1:]
		return b, true
	}
	n := 0
	for n < len(d.planned) && n < storage.MaxDeleteRows && !now.Before(d.planned[n].due) {
		n++
	}
	if n == 0 || n < storage.MaxDeleteRows && now.Sub(d.planned[0].due) < batchDelay {
		return Batch{}, false
	}
	d.inFlight = true
	b := newBatch(d.planned[:n], false)
	d.planned = append([]plannedDeletion(nil), d.planned[n:]...)
	return b, true
}

func newBatch(rows []plannedDeletion, single bool) Batch {
	b := Batch{planned: append([]plannedDeletion(nil), rows...), single: single}
	for _, deletion := range rows {
		b.Rows = append(b.Rows, deletion.row)
		if deletion.object != "" {
			b.Objects = append(b.Objects, deletion.object)
		}
	}
	return b
}

// Result records the result of a batch. A single row that has changed or no longer
// exists is dropped; after any other failure the rows are deleted later.
func (d *Deletions) Result(now time.Time, b Batch, err error) {
	d.inFlight = false
	changed := errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrNotFound)
	switch {
	case err == nil, changed && b.single:
	case changed:
		d.retrySingly = append(d.retrySingly, b.planned...)
	default:
		// If the outcome is unknown and the rows were in fact deleted, the repeated
		// batch conflicts, and its rows are then tried one by one.
		d.notBefore = now.Add(deleteRetryDelay)
		d.planned = append(b.planned, d.planned...)
	}
}
