package catalog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// maxPutAttempts is the number of times that one Put reads the current version and
// tries to write the next.
const maxPutAttempts = 3

// Store reads and writes the catalog in the table service. It keeps no state of its
// own; any number of goroutines and processes may use the same table at a time.
type Store struct {
	table Table
}

// NewStore returns a Store that uses the given table client.
func NewStore(t Table) *Store {
	return &Store{table: t}
}

// Change is a change of the catalog that an operator requests. Exactly one of
// Profile and Catalog is set.
type Change struct {
	// ID identifies the change, so that a repeated put is recognized. It has the
	// syntax of a name.
	ID string
	// By is the name of the operator.
	By string
	// Base is the version that the change was made from; 0 for the first catalog.
	Base uint64
	// Profile replaces the profile of the same name, or is added.
	Profile *Profile
	// Catalog replaces the whole document.
	Catalog *Catalog
}

// ConflictError means that another change was accepted after the base version of
// the refused change.
type ConflictError struct {
	// Base is the version that the refused change was made from.
	Base uint64
	// Current is the version in force and By the operator who made it.
	Current uint64
	By      string
	// Differences compares the version in force (From) with the refused change (To).
	Differences []Difference
}

// Error names both versions and lists the differences.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("change is based on version %d; version %d by %s is in force", e.Base, e.Current, e.By)
	for _, d := range e.Differences {
		s += fmt.Sprintf("; %s is %s, requested %s", d.Field, d.From, d.To)
	}
	return s
}

// errVersionChanged means that another version came into force during a put, so
// that the put has to start over.
var errVersionChanged = errors.New("another version came into force")

// Load returns the version in force, and its document if that version is higher
// than have. If there is no catalog yet, the version is 0. Errors are those of the
// table and of malformed rows, and have the code InvalidCatalog if the stored document
// is not valid.
func (s *Store) Load(ctx context.Context, have uint64) (uint64, *Catalog, error) {
	cur, err := s.readCurrent(ctx)
	if err != nil {
		return 0, nil, err
	}
	if cur.entry.Version <= have {
		return cur.entry.Version, nil, nil
	}
	body, err := s.readDocument(ctx, cur.entry)
	if err != nil {
		return 0, nil, err
	}
	c, err := DecodeStored(body)
	if err != nil {
		return 0, nil, err
	}
	return c.Version, c, nil
}

func (s *Store) readCurrent(ctx context.Context) (currentRow, error) {
	row, err := s.table.Get(ctx, currentKey)
	if errors.Is(err, storage.ErrNotFound) {
		return currentRow{}, nil
	}
	if err != nil {
		return currentRow{}, err
	}
	e, err := decodeEntry(row)
	return currentRow{entry: e, row: row}, err
}

// Put applies the change as the next version and returns that version. If the change
// was accepted before, Put returns the version that it made, even if later changes
// followed, and does not apply it again.
//
// Errors are *resultcode.Error with one of these codes: InvalidCatalog;
// VersionConflict, with a *ConflictError in the chain, or without one if an earlier
// put that was not accepted used the ID for a different change; StoreUnavailable, if
// the put had no effect; WriteOutcomeUnknown, after which the caller should put the
// same change again.
func (s *Store) Put(ctx context.Context, now time.Time, change Change) (*Catalog, error) {
	if err := checkChange(change); err != nil {
		return nil, err
	}
	var lastErr error
	written := false
	for range maxPutAttempts {
		c, err := s.tryPut(ctx, now, change)
		if err == nil {
			s.prune(ctx, c.Version)
			return c, nil
		}
		var coded *resultcode.Error
		if errors.As(err, &coded) {
			return nil, err
		}
		lastErr = err
		written = written || errors.Is(err, storage.ErrOutcomeUnknown)
	}
	if written {
		return nil, resultcode.Wrap(resultcode.WriteOutcomeUnknown, lastErr, "change %s may be in force", change.ID).
			WithExecution(resultcode.Unknown)
	}
	return nil, resultcode.Wrap(resultcode.StoreUnavailable, lastErr, "change %s was not accepted", change.ID)
}

func checkChange(change Change) error {
	if (change.Profile == nil) == (change.Catalog == nil) {
		return resultcode.New(resultcode.InvalidCatalog, "change has no or two contents; allowed: one profile or one catalog")
	}
	if err := checkName("change_id", change.ID); err != nil {
		return resultcode.Wrap(resultcode.InvalidCatalog, err, "change refused")
	}
	return nil
}

// tryPut is one attempt of a put. After an error without a result code the attempt
// may be repeated, because each one first looks for the change among those that
// were accepted.
func (s *Store) tryPut(ctx context.Context, now time.Time, change Change) (*Catalog, error) {
	cur, err := s.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	chain, err := s.historyChain(ctx, cur.entry)
	if err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(chain, func(e HistoryEntry) bool { return e.ChangeID == change.ID }); i >= 0 {
		return s.acceptedVersion(ctx, chain[i])
	}
	base, err := s.baseDocument(ctx, cur.entry)
	if err != nil {
		return nil, err
	}
	if change.Base != cur.entry.Version {
		if err := s.verifyInForce(ctx, cur, change.Base); err != nil {
			return nil, err
		}
		return nil, newConflict(change, cur.entry, base)
	}
	next, err := apply(base, change, now)
	if err != nil {
		return nil, err
	}
	return s.commit(ctx, cur, base, next)
}

// verifyInForce proves that cur is in force by writing its value again on condition
// of its revision. Otherwise a lagging read could make a put report a conflict
// although its change is in force. The write does not change the value, so an
// unknown outcome does not make that of the put unknown.
func (s *Store) verifyInForce(ctx context.Context, cur currentRow, base uint64) error {
	if cur.entry.Version < base {
		return fmt.Errorf("%w: read version %d, the change is based on version %d", storage.ErrUnavailable, cur.entry.Version, base)
	}
	if _, err := s.table.Put(ctx, currentKey, cur.row.Value, cur.row.Revision); err != nil {
		return fmt.Errorf("%w: version %d not verified: %v", storage.ErrUnavailable, cur.entry.Version, err)
	}
	return nil
}

// acceptedVersion returns the version that an accepted change made. If its document
// has been pruned, only the fields that describe the change are set.
func (s *Store) acceptedVersion(ctx context.Context, e HistoryEntry) (*Catalog, error) {
	body, err := s.readDocument(ctx, e)
	if errors.Is(err, storage.ErrNotFound) {
		return &Catalog{Version: e.Version, ChangeID: e.ChangeID, ChangedBy: e.By, ChangedAt: e.At}, nil
	}
	if err != nil {
		return nil, err
	}
	return DecodeStored(body)
}

// readDocument reads the JSON document of a version.
func (s *Store) readDocument(ctx context.Context, e HistoryEntry) ([]byte, error) {
	row, err := s.table.Get(ctx, versionKey(documentPrefix, e.Version, e.ChangeID))
	if err != nil {
		return nil, err
	}
	return decompress(row.Value)
}

// baseDocument returns the catalog in force. It is decoded strictly, because a field
// that this process does not know would be lost in the next version.
func (s *Store) baseDocument(ctx context.Context, e HistoryEntry) (*Catalog, error) {
	if e.Version == 0 {
		return &Catalog{}, nil
	}
	body, err := s.readDocument(ctx, e)
	if err != nil {
		return nil, err
	}
	return Decode(body)
}

func newConflict(change Change, e HistoryEntry, base *Catalog) error {
	c := &ConflictError{Base: change.Base, Current: e.Version, By: e.By}
	if change.Profile != nil {
		c.Differences = DiffProfile(findProfile(base, change.Profile.Name), change.Profile)
	} else {
		c.Differences = Diff(base, change.Catalog)
	}
	return resultcode.Wrap(resultcode.VersionConflict, c, "change %s refused", change.ID)
}

func findProfile(c *Catalog, name string) *Profile {
	for i := range c.Profiles {
		if c.Profiles[i].Name == name {
			return &c.Profiles[i]
		}
	}
	return nil
}

// apply returns the next version, made from base and the change, and validates it as
// a whole.
func apply(base *Catalog, change Change, now time.Time) (*Catalog, error) {
	next := *base
	if change.Catalog != nil {
		next = *change.Catalog
	}
	next.Version = base.Version + 1
	next.ChangeID = change.ID
	next.ChangedBy = change.By
	next.ChangedAt = now.UTC().Truncate(time.Millisecond)
	if change.Profile != nil {
		next.Profiles = slices.Clone(base.Profiles)
		if p := findProfile(&next, change.Profile.Name); p != nil {
			*p = *change.Profile
		} else {
			next.Profiles = append(next.Profiles, *change.Profile)
		}
	}
	return &next, Validate(&next)
}

// commit writes the document and the history row of the next version and then
// replaces the row catalog/current, which puts it into force.
func (s *Store) commit(ctx context.Context, cur currentRow, base, next *Catalog) (*Catalog, error) {
	next, err := s.storeDocument(ctx, next)
	if err != nil {
		return nil, err
	}
	entry := HistoryEntry{
		Version: next.Version, ChangeID: next.ChangeID, Parent: cur.entry.ChangeID,
		By: next.ChangedBy, At: next.ChangedAt, Differences: Diff(base, next),
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return nil, err
	}
	if _, err := s.createRow(ctx, versionKey(historyPrefix, entry.Version, entry.ChangeID), value); err != nil {
		return nil, err
	}
	entry.Differences = nil
	if value, err = json.Marshal(entry); err != nil {
		return nil, err
	}
	_, err = s.table.Put(ctx, currentKey, value, cur.row.Revision)
	if errors.Is(err, storage.ErrConflict) {
		return nil, fmt.Errorf("%w: %w", errVersionChanged, err)
	}
	return next, err
}

// storeDocument writes the document row of the next version and returns the stored
// version. An earlier attempt of the same change may already have written the row
// with another time of the change; that document is used then.
func (s *Store) storeDocument(ctx context.Context, next *Catalog) (*Catalog, error) {
	body, err := Encode(next)
	if err != nil {
		return nil, err
	}
	compressed, err := compress(body)
	if err != nil {
		return nil, err
	}
	stored, err := s.createRow(ctx, versionKey(documentPrefix, next.Version, next.ChangeID), compressed)
	if err != nil || bytes.Equal(stored, compressed) {
		return next, err
	}
	if body, err = decompress(stored); err != nil {
		return nil, err
	}
	earlier, err := Decode(body)
	if err != nil {
		return nil, err
	}
	if d := Diff(earlier, next); len(d) > 0 {
		return nil, resultcode.New(resultcode.VersionConflict,
			"change id %s was used before with %s = %s, now %s", next.ChangeID, d[0].Field, d[0].From, d[0].To)
	}
	return earlier, nil
}

// createRow writes a row that never changes and returns the stored value. A row that
// an earlier attempt wrote is kept. An unknown outcome of this write does not make
// that of the put unknown, because a row that nothing refers to has no effect.
func (s *Store) createRow(ctx context.Context, key string, value []byte) ([]byte, error) {
	_, err := s.table.Put(ctx, key, value, "")
	if err == nil {
		return value, nil
	}
	if !errors.Is(err, storage.ErrConflict) && !errors.Is(err, storage.ErrOutcomeUnknown) {
		return nil, err
	}
	row, readErr := s.table.Get(ctx, key)
	if readErr != nil {
		return nil, fmt.Errorf("%w: read after %v: %v", storage.ErrUnavailable, err, readErr)
	}
	return row.Value, nil
}
