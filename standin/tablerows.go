package standin

import (
	"slices"
	"strings"
	"time"
)

const (
	// MaxReadLag is the maximum TableFaults.ReadLagMS; row versions are kept this long.
	MaxReadLag = time.Minute
	// rowVersionLimit is the maximum number of versions kept per row. A read with a lag beyond
	// the oldest kept version sees that version.
	rowVersionLimit = 64
)

// tableRow is one row with its kept versions, oldest first.
type tableRow struct {
	storageKey string
	versions   []rowVersion
	// truncated means that older versions of the row have been dropped.
	truncated bool
}

type rowVersion struct {
	at       time.Time
	value    []byte
	revision uint64
	deleted  bool
}

// versionAt returns the version in effect at time t, and false when the row did
// not exist then.
func (r *tableRow) versionAt(t time.Time) (rowVersion, bool) {
	for _, v := range slices.Backward(r.versions) {
		if !v.at.After(t) {
			return v, !v.deleted
		}
	}
	if r.truncated {
		return r.versions[0], !r.versions[0].deleted
	}
	return rowVersion{}, false
}

// prune drops versions that no read within MaxReadLag can see, and the oldest ones
// beyond rowVersionLimit.
func (r *tableRow) prune(now time.Time) {
	oldest := now.Add(-MaxReadLag)
	drop := 0
	for drop+1 < len(r.versions) && !r.versions[drop+1].at.After(oldest) {
		drop++
	}
	drop = max(drop, len(r.versions)-rowVersionLimit)
	r.truncated = r.truncated || drop > 0
	r.versions = slices.Delete(r.versions, 0, drop)
}

// expired reports whether the row was deleted so long ago that no read can see it.
func (r *tableRow) expired(now time.Time) bool {
	last := r.versions[len(r.versions)-1]
	return last.deleted && last.at.Before(now.Add(-MaxReadLag))
}

// rowSet holds the rows of all tables, ordered by storage key.
type rowSet struct {
	rows []*tableRow
	// revision is the number of the last committed transaction, and of the one in
	// progress during a commit.
	revision uint64
	// compactedRevision is the revision up to which the history of changes has been
	// discarded.
	compactedRevision uint64
	// deletions is the number of deletes since expired rows were last dropped.
	deletions int
}

// deletesPerSweep is the number of deletes after which expired rows are dropped.
const deletesPerSweep = 256

func (s *rowSet) search(key string) (int, bool) {
	return slices.BinarySearchFunc(s.rows, key, func(r *tableRow, key string) int {
		return strings.Compare(r.storageKey, key)
	})
}

func (s *rowSet) get(key string, at time.Time) (rowVersion, bool) {
	i, ok := s.search(key)
	if !ok {
		return rowVersion{}, false
	}
	return s.rows[i].versionAt(at)
}

// write appends a version to a row with the revision of the transaction in progress.
func (s *rowSet) write(now time.Time, key string, value []byte, deleted bool) {
	v := rowVersion{at: now, value: value, revision: s.revision, deleted: deleted}
	i, ok := s.search(key)
	if !ok {
		s.rows = slices.Insert(s.rows, i, &tableRow{storageKey: key})
	}
	s.rows[i].versions = append(s.rows[i].versions, v)
	s.rows[i].prune(now)
	if deleted {
		s.sweep(now)
	}
}

// sweep drops expired rows after every deletesPerSweep deletes. Feeds from before
// the deletion of such a row have to list again.
func (s *rowSet) sweep(now time.Time) {
	s.deletions++
	if s.deletions < deletesPerSweep {
		return
	}
	s.deletions = 0
	s.rows = slices.DeleteFunc(s.rows, func(r *tableRow) bool {
		if !r.expired(now) {
			return false
		}
		s.compactedRevision = max(s.compactedRevision, r.versions[len(r.versions)-1].revision)
		return true
	})
}

type foundRow struct {
	storageKey string
	rowVersion
}

// list returns up to limit rows with from <= storage key < to as they were at the
// given time, and whether there are more.
func (s *rowSet) list(from, to string, limit int, at time.Time) (found []foundRow, more bool) {
	start, _ := s.search(from)
	for _, r := range s.rows[start:] {
		if r.storageKey >= to {
			break
		}
		v, ok := r.versionAt(at)
		if !ok {
			continue
		}
		if len(found) == limit {
			return found, true
		}
		found = append(found, foundRow{r.storageKey, v})
	}
	return found, false
}

// listRows returns the rows of a partition with from <= key < to; an empty to means
// no upper bound.
func (t *Table) listRows(partition rowID, from, to string, limit int) rowsResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := partition.partitionPrefix() + to
	if to == "" {
		end = partition.Table + rowSeparator + partition.Part + string(rune(rowSeparator[0]+1))
	}
	found, more := t.rows.list(partition.partitionPrefix()+from, end, limit, t.readTime())
	page := t.newResponse()
	page.More = more
	for _, row := range found {
		page.Rows = append(page.Rows, rowBody{rowID: parseRowID(row.storageKey), Data: row.value, Version: row.revision})
	}
	return page
}
