package catalog

import (
	"context"
	"fmt"
	"strings"

	"github.com/pistachiowind/pistachiowind/platform"
)

// maxHistoryPages bounds one listing. Proposals that never came into force
// share the rows, so there may be more rows than versions.
const maxHistoryPages = 4 * HistoryVersions / platform.MaxListRows

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

// chain follows the parents from the newest entry through the history rows. A
// missing row means a lagging read and yields ErrUnavailable.
func (s *Store) chain(ctx context.Context, newest Entry) ([]Entry, error) {
	if newest.Version == 0 {
		return nil, nil
	}
	chain := []Entry{newest}
	if newest.Version == 1 {
		return chain, nil
	}
	oldest := uint64(1)
	if newest.Version > HistoryVersions {
		oldest = newest.Version - HistoryVersions + 1
	}
	after := ""
	for range maxHistoryPages {
		rows, next, err := s.table.List(ctx, historyPrefix, after, platform.MaxListRows)
		if err != nil {
			return nil, err
		}
		chain, err = extend(chain, rows, oldest)
		if err != nil || chain[len(chain)-1].Version == oldest {
			return chain, err
		}
		if next == "" {
			break
		}
		after = next
	}
	last := chain[len(chain)-1]
	return nil, fmt.Errorf("%w: history row of version %d, change %s, not found",
		platform.ErrUnavailable, last.Version-1, last.Parent)
}

// extend appends the parents that occur among rows, which are sorted from the
// highest version down, until the oldest version wanted.
func extend(chain []Entry, rows []platform.Row, oldest uint64) ([]Entry, error) {
	for _, row := range rows {
		last := chain[len(chain)-1]
		if last.Version == oldest {
			return chain, nil
		}
		if row.Key != versionKey(historyPrefix, last.Version-1, last.Parent) {
			continue
		}
		e, err := decodeEntry(row)
		if err != nil {
			return nil, err
		}
		chain = append(chain, e)
	}
	return chain, nil
}

// prune deletes rows of versions that are no longer kept, a bounded number at
// each accepted change. Failures are ignored: the next change repeats the work.
func (s *Store) prune(ctx context.Context, version uint64) {
	s.pruneBelow(ctx, historyPrefix, version, HistoryVersions, platform.MaxDeleteRows)
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
