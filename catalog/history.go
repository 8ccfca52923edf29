package catalog

import (
	"context"
	"fmt"
	"strings"

	"github.com/pistachiowind/pistachiowind/storage"
)

// maxHistoryPages bounds one listing. Proposals that never came into force
// share the rows, so there may be more rows than versions.
const maxHistoryPages = 4 * HistoryVersions / storage.MaxListRows

// History returns up to limit accepted changes, newest first. Proposals that
// never came into force are left out.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	cur, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	chain, err := s.chain(ctx, cur.entry)
	return chain[:min(limit, len(chain))], err
}

// chain follows the parents from the newest version through the history rows. A
// missing row means a lagging read and yields ErrUnavailable.
func (s *Store) chain(ctx context.Context, newest Entry) ([]Entry, error) {
	f := follower{version: newest.Version, changeID: newest.ChangeID}
	if newest.Version > HistoryVersions {
		f.end = newest.Version - HistoryVersions
	}
	after := ""
	for range maxHistoryPages {
		if f.version == f.end {
			return f.chain, nil
		}
		rows, next, err := s.table.List(ctx, historyPrefix, after, storage.MaxListRows)
		if err != nil {
			return nil, err
		}
		if err := f.follow(rows); err != nil {
			return nil, err
		}
		if next == "" {
			break
		}
		after = next
	}
	if f.version == f.end {
		return f.chain, nil
	}
	return nil, fmt.Errorf("%w: history row of version %d, change %s, not found",
		storage.ErrUnavailable, f.version, f.changeID)
}

// follower collects a chain of entries down to the version end, without it.
type follower struct {
	chain []Entry
	// The next entry to find.
	version  uint64
	changeID string
	end      uint64
}

// follow takes rows that are sorted from the highest version down.
func (f *follower) follow(rows []storage.Row) error {
	for _, row := range rows {
		if f.version == f.end {
			return nil
		}
		if row.Key != versionKey(historyPrefix, f.version, f.changeID) {
			continue
		}
		e, err := decodeEntry(row)
		if err != nil {
			return err
		}
		f.chain = append(f.chain, e)
		f.version, f.changeID = e.Version-1, e.Parent
	}
	return nil
}

// prune deletes rows of versions that are no longer kept, a bounded number at
// each accepted change. Failures are ignored: the next change repeats the work.
func (s *Store) prune(ctx context.Context, version uint64) {
	s.pruneBelow(ctx, historyPrefix, version, HistoryVersions, storage.MaxDeleteRows)
	s.pruneBelow(ctx, bodyPrefix, version, keptBodies, bodyPageRows)
}

func (s *Store) pruneBelow(ctx context.Context, prefix string, version, kept uint64, limit int) {
	if version <= kept {
		return
	}
	// The key without a change sorts directly before all changes of its version.
	after := strings.TrimSuffix(versionKey(prefix, version-kept, ""), "-")
	rows, _, err := s.table.List(ctx, prefix, after, limit)
	if err != nil || len(rows) == 0 {
		return
	}
	_ = s.table.DeleteBatch(ctx, rows)
}
