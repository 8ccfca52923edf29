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

// putTries bounds how often one Put reads the current version and writes again.
const putTries = 3

// Store keeps the catalog in the table service. It has no state of its own and
// is safe for concurrent use by many processes.
type Store struct {
	table Table
}

// NewStore returns a Store over a table.
func NewStore(t Table) *Store {
	return &Store{table: t}
}

// Change is an operator's change. Exactly one of Profile and Catalog is set.
type Change struct {
	// ID identifies the change; a repeated put has the same one. It follows the
	// rules of names.
	ID string
	// By is the operator.
	By string
	// Base is the version that the operator saw; 0 for the first catalog.
	Base uint64
	// Profile replaces or adds one profile.
	Profile *Profile
	// Catalog replaces the whole document.
	Catalog *Catalog
}

// ConflictError means that another change was accepted since the base version.
type ConflictError struct {
	// Base is the version that the refused change was made from.
	Base uint64
	// Current is the version in force, made by By.
	Current uint64
	By      string
	// Differences compares what is in force (From) with what the refused change
	// asks for (To).
	Differences []Difference
}

// Error lists the differences.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("change is based on version %d; version %d by %s is in force", e.Base, e.Current, e.By)
	for _, d := range e.Differences {
		s += fmt.Sprintf("; %s is %s, requested %s", d.Field, d.From, d.To)
	}
	return s
}

// errMoved means that another version came into force during a put.
var errMoved = errors.New("another version came into force")

// Load returns the version in force, and its document if the version is above
// have. Without any catalog it returns version 0.
func (s *Store) Load(ctx context.Context, have uint64) (uint64, *Catalog, error) {
	cur, err := s.current(ctx)
	if err != nil {
		return 0, nil, err
	}
	if cur.entry.Version <= have {
		return cur.entry.Version, nil, nil
	}
	body, err := s.body(ctx, cur.entry)
	if err != nil {
		return 0, nil, err
	}
	c, err := DecodeStored(body)
	if err != nil {
		return 0, nil, err
	}
	return c.Version, c, nil
}

func (s *Store) current(ctx context.Context) (current, error) {
	row, err := s.table.Get(ctx, currentKey)
	if errors.Is(err, storage.ErrNotFound) {
		return current{}, nil
	}
	if err != nil {
		return current{}, err
	}
	e, err := decodeEntry(row)
	return current{entry: e, row: row}, err
}

// Put makes the change the next version and returns it. A change that is
// already in force, or was before later changes, is returned as the version
// that it made and is not applied again. Errors are *resultcode.Error with
// InvalidCatalog, VersionConflict (a *ConflictError in the chain),
// StoreUnavailable without effect, or WriteOutcomeUnknown: put the same change
// again.
func (s *Store) Put(ctx context.Context, now time.Time, change Change) (*Catalog, error) {
	if err := checkChange(change); err != nil {
		return nil, err
	}
	var lastErr error
	written := false
	for range putTries {
		c, err := s.put(ctx, now, change)
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

// put is one try. Errors without a result code may be tried again: each try
// starts by looking for the change among those that were accepted.
func (s *Store) put(ctx context.Context, now time.Time, change Change) (*Catalog, error) {
	cur, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	chain, err := s.chain(ctx, cur.entry)
	if err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(chain, func(e Entry) bool { return e.ChangeID == change.ID }); i >= 0 {
		return s.accepted(ctx, chain[i])
	}
	base, err := s.base(ctx, cur.entry)
	if err != nil {
		return nil, err
	}
	if change.Base != cur.entry.Version {
		if err := s.verify(ctx, cur, change.Base); err != nil {
			return nil, err
		}
		return nil, conflict(change, cur.entry, base)
	}
	next, err := apply(base, change, now)
	if err != nil {
		return nil, err
	}
	return s.write(ctx, cur, base, next)
}

// verify proves that cur is in force by writing the same value again under its
// revision. Without it a lagging read could refuse a change that is in force. The
// write changes no content, so its outcome does not matter to the put.
func (s *Store) verify(ctx context.Context, cur current, base uint64) error {
	if cur.entry.Version < base {
		return fmt.Errorf("%w: read version %d, the change is based on version %d", storage.ErrUnavailable, cur.entry.Version, base)
	}
	if _, err := s.table.Put(ctx, currentKey, cur.row.Value, cur.row.Revision); err != nil {
		return fmt.Errorf("%w: version %d not verified: %v", storage.ErrUnavailable, cur.entry.Version, err)
	}
	return nil
}

// accepted returns the version that an accepted change made. Its document may
// have been pruned; then the result has no contents.
func (s *Store) accepted(ctx context.Context, e Entry) (*Catalog, error) {
	body, err := s.body(ctx, e)
	if errors.Is(err, storage.ErrNotFound) {
		return &Catalog{Version: e.Version, ChangeID: e.ChangeID, ChangedBy: e.By, ChangedAt: e.At}, nil
	}
	if err != nil {
		return nil, err
	}
	return DecodeStored(body)
}

// body reads the document of a version.
func (s *Store) body(ctx context.Context, e Entry) ([]byte, error) {
	row, err := s.table.Get(ctx, versionKey(bodyPrefix, e.Version, e.ChangeID))
	if err != nil {
		return nil, err
	}
	return unpack(row.Value)
}

// base returns the document in force, decoded strictly: a field that this
// process does not know would be dropped from the next version.
func (s *Store) base(ctx context.Context, e Entry) (*Catalog, error) {
	if e.Version == 0 {
		return &Catalog{}, nil
	}
	body, err := s.body(ctx, e)
	if err != nil {
		return nil, err
	}
	return Decode(body)
}

func conflict(change Change, e Entry, base *Catalog) error {
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

// apply builds the next version from the base and validates it as a whole.
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

// write proposes the next version and then puts it into force.
func (s *Store) write(ctx context.Context, cur current, base, next *Catalog) (*Catalog, error) {
	next, err := s.propose(ctx, next)
	if err != nil {
		return nil, err
	}
	entry := Entry{
		Version: next.Version, ChangeID: next.ChangeID, Parent: cur.entry.ChangeID,
		By: next.ChangedBy, At: next.ChangedAt, What: Diff(base, next),
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return nil, err
	}
	if _, err := s.create(ctx, versionKey(historyPrefix, entry.Version, entry.ChangeID), value); err != nil {
		return nil, err
	}
	entry.What = nil
	if value, err = json.Marshal(entry); err != nil {
		return nil, err
	}
	_, err = s.table.Put(ctx, currentKey, value, cur.row.Revision)
	if errors.Is(err, storage.ErrConflict) {
		return nil, fmt.Errorf("%w: %w", errMoved, err)
	}
	return next, err
}

// propose stores the document. An earlier try of the same change may have
// stored it already with another time; that document is used then.
func (s *Store) propose(ctx context.Context, next *Catalog) (*Catalog, error) {
	body, err := Encode(next)
	if err != nil {
		return nil, err
	}
	packed, err := pack(body)
	if err != nil {
		return nil, err
	}
	stored, err := s.create(ctx, versionKey(bodyPrefix, next.Version, next.ChangeID), packed)
	if err != nil || bytes.Equal(stored, packed) {
		return next, err
	}
	if body, err = unpack(stored); err != nil {
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

// create writes a row that never changes and returns the stored value. A row of
// an earlier try is kept. Its outcome does not matter to the result of a put,
// because a row that nothing refers to has no effect.
func (s *Store) create(ctx context.Context, key string, value []byte) ([]byte, error) {
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
