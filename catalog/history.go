package catalog

import (
	"context"
	"fmt"
	"strings"

	"github.com/pistachiowind/pistachiowind/storage"
)

// maxHistoryPages bounds the pages read for one history. Proposals that never came
// into force also have history rows, so there may be more rows than versions.
const maxHistoryPages = 4 * HistoryVersions / storage.MaxListRows

// History returns up to limit accepted changes, newest first, and none if there is no
// catalog yet. It omits proposals that never came into force. Errors are those of the
// table and of malformed rows; storage.ErrUnavailable may mean that the read lagged.
func (s *Store) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	cur, err := s.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	chain, err := s.historyChain(ctx, cur.entry)
	return chain[:min(limit, len(chain))], err
}

// historyChain reads the history entries from the newest version down, following the
// parent of each entry. A missing row means that the read lags and yields
// storage.ErrUnavailable.
func (s *Store) historyChain(ctx context.Context, newest HistoryEntry) ([]HistoryEntry, error) {
	r := chainReader{nextVersion: newest.Version, nextChangeID: newest.ChangeID}
	if newest.Version > HistoryVersions {
		r.stopVersion = newest.Version - HistoryVersions
	}
	after := ""
	for range maxHistoryPages {
		if r.nextVersion == r.stopVersion {
			return r.entries, nil
		}
		rows, next, err := s.table.List(ctx, historyPrefix, after, storage.MaxListRows)
		if err != nil {
			return nil, err
		}
		if err := r.collect(rows); err != nil {
			return nil, err
		}
		if next == "" {
			break
		}
		after = next
	}
	if r.nextVersion == r.stopVersion {
		return r.entries, nil
	}
	return nil, fmt.Errorf("%w: history row of version %d, change %s, not found",
		storage.ErrUnavailable, r.nextVersion, r.nextChangeID)
}

// chainReader collects the chain of entries above stopVersion.
type chainReader struct {
	entries []HistoryEntry
	// The version and change of the next entry in the chain.
	nextVersion  uint64
	nextChangeID string
	stopVersion  uint64
}

// collect appends the entries of the chain that are among rows, which are sorted
// from the highest version down.
func (r *chainReader) collect(rows []storage.Row) error {
	for _, row := range rows {
		if r.nextVersion == r.stopVersion {
			return nil
		}
		if row.Key != versionKey(historyPrefix, r.nextVersion, r.nextChangeID) {
			continue
		}
		e, err := decodeEntry(row)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, e)
		r.nextVersion, r.nextChangeID = e.Version-1, e.Parent
	}
	return nil
}

// prune deletes a bounded number of rows of versions that are no longer kept. It
// runs after each accepted change and ignores failures, because the next change
// repeats it.
func (s *Store) prune(ctx context.Context, version uint64) {
	s.pruneBelow(ctx, historyPrefix, version, HistoryVersions, storage.MaxDeleteRows)
	s.pruneBelow(ctx, documentPrefix, version, keptDocuments, documentPageRows)
}

func (s *Store) pruneBelow(ctx context.Context, prefix string, version, kept uint64, limit int) {
	if version <= kept {
		return
	}
	// The key without a change ID sorts directly before all changes of the version.
	after := strings.TrimSuffix(versionKey(prefix, version-kept, ""), "-")
	rows, _, err := s.table.List(ctx, prefix, after, limit)
	if err != nil || len(rows) == 0 {
		return
	}
	_ = s.table.DeleteBatch(ctx, rows)
}
