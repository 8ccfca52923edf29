package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// siteRowsPrefix is the prefix of the keys of all rows of the gateways, and suspectsKey
	// the key of the one with the suspects of several crashes.
	siteRowsPrefix = "gateway/"
	suspectsKey    = siteRowsPrefix + "suspects"
	// siteRowsCheckInterval is how often the gateway checks whether the rows are to be read
	// or written. It is also the time within which changes are written together.
	siteRowsCheckInterval = 250 * time.Millisecond
	// isolatedReadInterval is how often a gateway that has lost most of its peers reads the
	// rows, and silentReadInterval how often one that hears of none does.
	isolatedReadInterval = time.Second
	silentReadInterval   = 250 * time.Millisecond
	// siteRowsTimeout bounds one read and the writes after it, and siteRowsRetryPause is the
	// least pause after a failure.
	siteRowsTimeout    = 2 * time.Second
	siteRowsRetryPause = time.Second
)

// RowStore is the part of the platform's store that keeps rows of the gateways. Its errors
// are those of package storage.
type RowStore interface {
	// Snapshot returns the rows whose keys start with prefix, and the time of the store's
	// clock.
	Snapshot(ctx context.Context, prefix string) ([]storage.Row, time.Duration, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
}

// siteRow is a part of the state of the site that all gateways keep together in one row.
// storeTime is the time of the store's clock.
type siteRow interface {
	key() string
	// load merges the row into the gateway's state; an empty value means that there is none.
	load(now time.Time, storeTime time.Duration, value []byte) error
	// unstored reports whether the store lacks something that this gateway knows.
	unstored() bool
	// encode returns the row to store. It counts as stored unless notStored follows.
	encode(now time.Time, storeTime time.Duration) ([]byte, error)
	notStored()
}

// rowKeeper keeps the rows of the site in the store, so that what they hold outlasts a
// restart of all gateways at once and reaches those that have lost their peers. It reads the
// rows once after the start, and calls the store again only to write what the gateway
// observed itself, or while it has lost its peers.
type rowKeeper struct {
	gateway *Gateway
	store   RowStore
	rows    []siteRow
	rng     *rand.Rand
	loaded  bool
	// readAt is when the rows were last read, and retryAt the earliest time of the next call
	// after a failure.
	readAt, retryAt time.Time
	// aliasesRevision is that of the row with the attempts that took a stream up here, and
	// storeTime the time of the store's clock at storeTimeAt.
	aliasesRevision storage.Revision
	storeTime       time.Duration
	storeTimeAt     time.Time
}

// newRowKeeper returns a keeper of all rows of the site.
func newRowKeeper(g *Gateway, store RowStore, rng *rand.Rand) *rowKeeper {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.keepsRows = true
	return &rowKeeper{gateway: g, store: store, rng: rng, rows: []siteRow{suspectsRow{g.dispatcher}, versionsRow{g.dispatcher}}}
}

// serve keeps the rows until ctx ends.
func (k *rowKeeper) serve(ctx context.Context) error {
	ticker := time.NewTicker(siteRowsCheckInterval)
	defer ticker.Stop()
	for {
		k.check(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-k.gateway.dispatcher.wakeKeeper:
		}
	}
}

// check reads and writes the rows if that is due.
func (k *rowKeeper) check(ctx context.Context, now time.Time) {
	if k.gateway.storeLostAt.Load() != nil {
		k.gateway.dispatcher.rowsFailed()
		return
	}
	if now.Before(k.retryAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, siteRowsTimeout)
	defer cancel()
	if k.due(now) {
		k.readAt = now
		if err := k.sync(ctx); err != nil {
			k.failed(ctx, now, err)
			return
		}
	}
	if !k.loaded {
		return
	}
	if err := k.writeAliases(ctx, now); err != nil {
		k.failed(ctx, now, err)
	}
}

// failed logs an error of the store, and lets some time pass before the next call.
func (k *rowKeeper) failed(ctx context.Context, now time.Time, err error) {
	k.gateway.dispatcher.rowsFailed()
	k.retryAt = now.Add(siteRowsRetryPause + time.Duration(k.rng.Int64N(int64(siteRowsRetryPause))))
	if !errors.Is(ctx.Err(), context.Canceled) {
		k.gateway.log.Warn().Err(err).Msg("rows of the site were not kept in the store")
	}
}

func (k *rowKeeper) due(now time.Time) bool {
	since := now.Sub(k.readAt)
	if !k.loaded || since >= isolatedReadInterval && k.gateway.dispatcher.isIsolated() ||
		since >= silentReadInterval && k.gateway.dispatcher.isSilent(now) ||
		since >= aliasesReadInterval && k.gateway.dispatcher.wantsAliases() {
		return true
	}
	for _, r := range k.rows {
		if r.unstored() {
			return true
		}
	}
	return false
}

// sync merges the stored rows into the state of the gateway, and writes those that lack
// something.
func (k *rowKeeper) sync(ctx context.Context) error {
	began := time.Now()
	stored, storeTime, err := k.store.Snapshot(ctx, siteRowsPrefix)
	if err != nil {
		return err
	}
	now := time.Now()
	byKey := make(map[string]storage.Row, len(stored))
	for _, row := range stored {
		byKey[row.Key] = row
	}
	k.loadAliases(now, storeTime, stored)
	k.gateway.dispatcher.rowsRead(began)
	k.loaded = true
	var failed error
	for _, r := range k.rows {
		row := byKey[r.key()]
		if err := r.load(now, storeTime, row.Value); err != nil {
			// Another writer may have left something else in the row; the next write replaces it.
			k.gateway.log.Warn().Err(err).Str("row", r.key()).Msg("stored row is not valid")
		}
		if r.unstored() {
			failed = errors.Join(failed, k.write(ctx, r, row.Revision, now, storeTime))
		}
	}
	return failed
}

// write writes a row if no other gateway has done so since it was read.
func (k *rowKeeper) write(ctx context.Context, r siteRow, revision storage.Revision, now time.Time, storeTime time.Duration) error {
	value, err := r.encode(now, storeTime)
	if err == nil {
		_, err = k.store.Put(ctx, r.key(), value, revision)
	}
	if err != nil {
		r.notStored()
	}
	if errors.Is(err, storage.ErrConflict) {
		// The next check merges what the other gateway wrote.
		return nil
	}
	return err
}

// isIsolated reports whether the gateway has lost most of its peers.
func (d *dispatcher) isIsolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolated
}

// suspectsRow is the row with the suspects of several crashes. It implements siteRow.
type suspectsRow struct{ *dispatcher }

func (suspectsRow) key() string { return suspectsKey }

func (r suspectsRow) load(now time.Time, _ time.Duration, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, err := r.crashes.Load(now, value)
	r.onSuspects(changes)
	return err
}

// unstored implements siteRow. A gateway that has lost its peers stores every crash, since
// no peer counts it.
func (r suspectsRow) unstored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.Unstored(r.isolated)
}

func (r suspectsRow) encode(now time.Time, _ time.Duration) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.Encode(now, r.isolated)
}

func (r suspectsRow) notStored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes.NotStored()
}
