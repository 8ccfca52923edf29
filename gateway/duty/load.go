package duty

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/storage"
)

func (e *eraRecord) row(revision storage.Revision) storage.Row {
	// Encoding cannot fail: the record contains only integers.
	value, _ := json.Marshal(e)
	return storage.Row{Key: eraKey, Value: value, Revision: revision}
}

// load applies the rows of the store, which are all rows with rowsPrefix.
func (r *Reporter) load(m Moment, rows []storage.Row) {
	byKey := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	r.loadEra(m, byKey[eraKey])
	for i := range r.slots {
		r.loadSlot(m, i, byKey[reportKey(i)])
	}
	for i := range r.countRevisions {
		row := byKey[countsKey(i)]
		r.countRevisions[i], r.countHashes[i] = row.Revision, xxhash.Sum64(row.Value)
		if row.Revision == "" {
			continue
		}
		if err := r.options.Ledger.Merge(row.Value); err != nil {
			r.options.OnEvent(Event{Kind: EventUnreadable, Err: fmt.Errorf("row %s: %w", row.Key, err)})
		}
	}
	// Whether the rows hold all counts of this process is not known.
	r.checkpointed = math.MaxUint64
	r.loaded = true
	r.options.OnEvent(Event{Kind: EventLoaded})
}

// loadEra determines the first window that may be recorded. A window that ended before the
// era began may have been recorded and sent by a holder whose row is lost with the restored
// copy; two different reports of it would be worse than none.
func (r *Reporter) loadEra(m Moment, row storage.Row) {
	r.eraRevision, r.eraStored = row.Revision, false
	if r.era == 0 {
		r.allowedFrom = math.MinInt64
		return
	}
	// True time at the moment when the era was seen, by the present estimate.
	seenAt := m.True.Add(-m.Now.Sub(r.eraSeenAt))
	from := r.windowAt(seenAt)
	if r.continuous {
		from = min(from, r.allowedFrom)
	}
	if row.Revision != "" {
		stored, err := decodeEra(row.Value)
		if err != nil {
			r.options.OnEvent(Event{Kind: EventUnreadable, Err: err})
		} else if stored.Era == r.era {
			r.eraStored = stored.FirstWindow <= from
			from = min(from, stored.FirstWindow)
		}
	}
	r.allowedFrom = from
}

// loadSlot merges a stored record with what this process holds in memory.
func (r *Reporter) loadSlot(m Moment, i int, row storage.Row) {
	known := &r.slots[i]
	stored := slot{revision: row.Revision}
	if row.Revision != "" {
		v, err := decodeRecord(row.Value, i)
		if err != nil {
			r.options.OnEvent(Event{Kind: EventUnreadable, Err: fmt.Errorf("row %s: %w", row.Key, err)})
			stored.Window, stored.unreadable = r.windowAt(m.True), true
		} else {
			stored.record, stored.confirmed, stored.stored = v, true, true
		}
	}
	switch {
	case known.confirmed && (stored.revision == "" || stored.confirmed && stored.Window < known.Window):
		// The store was restored from a copy older than the record.
		known.revision, known.stored = stored.revision, false
	case known.confirmed && stored.confirmed && stored.Window == known.Window && known.Sent && !stored.Sent:
		stored.Sent, stored.stored = true, false
		*known = stored
	default:
		*known = stored
	}
}
