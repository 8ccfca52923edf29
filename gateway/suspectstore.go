package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// suspectsKey is the key of the row with the suspects of several crashes.
	suspectsKey = "gateway/suspects"
	// suspectsCheckInterval is how often the gateway checks whether the row is to be read or
	// written. It is also the time within which changes are written together.
	suspectsCheckInterval = 250 * time.Millisecond
	// isolatedReadInterval is how often a gateway that has lost its peers reads the row.
	isolatedReadInterval = time.Second
	// suspectsTimeout bounds one read and one write of the row, and suspectsRetryPause is
	// the least pause after a failure.
	suspectsTimeout    = 2 * time.Second
	suspectsRetryPause = time.Second
)

// RowStore is the part of the platform's store that keeps rows of the gateways. Its errors
// are those of package storage.
type RowStore interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
}

// suspectKeeper keeps the suspects of several crashes in the store, so that the verdicts
// outlast a restart of all gateways at once and reach those that have lost their peers. It
// reads the row once after the start, and calls the store again only to write a change that
// the gateway observed itself, or while it has lost its peers.
type suspectKeeper struct {
	gateway *Gateway
	rows    RowStore
	rng     *rand.Rand
	loaded  bool
	// readAt is when the row was last read, and retryAt the earliest time of the next call
	// after a failure.
	readAt, retryAt time.Time
}

// serve keeps the row until ctx ends.
func (k *suspectKeeper) serve(ctx context.Context) error {
	ticker := time.NewTicker(suspectsCheckInterval)
	defer ticker.Stop()
	for {
		k.check(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// check reads and writes the row if that is due.
func (k *suspectKeeper) check(ctx context.Context, now time.Time) {
	unstored, isolated := k.gateway.dispatcher.suspectState()
	due := !k.loaded || unstored || isolated && now.Sub(k.readAt) >= isolatedReadInterval
	if !due || now.Before(k.retryAt) || k.gateway.storeLostAt.Load() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	k.readAt = now
	if err := k.sync(ctx, unstored); err != nil {
		k.retryAt = now.Add(suspectsRetryPause + time.Duration(k.rng.Int64N(int64(suspectsRetryPause))))
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			k.gateway.log.Warn().Err(err).Bool("write", unstored).Msg("suspects were not kept in the store")
		}
		return
	}
	k.loaded = true
}

// sync merges the row into the table and, if write is set, the table into the row.
func (k *suspectKeeper) sync(ctx context.Context, write bool) error {
	row, err := k.rows.Get(ctx, suspectsKey)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return err
	}
	if err := k.gateway.dispatcher.loadSuspects(row.Value); err != nil {
		// Another writer may have left something else in the row; the next write replaces it.
		k.gateway.log.Warn().Err(err).Msg("stored suspects are not valid")
	}
	if !write {
		return nil
	}
	value, err := k.gateway.dispatcher.encodeSuspects()
	if err == nil {
		_, err = k.rows.Put(ctx, suspectsKey, value, row.Revision)
	}
	if err != nil {
		k.gateway.dispatcher.suspectsNotStored()
	}
	if errors.Is(err, storage.ErrConflict) {
		// Another gateway wrote in between; the next check merges its row.
		return nil
	}
	return err
}

// suspectState reports whether the store lacks something that this gateway observed, and
// whether the gateway has lost its peers. One that has must store every crash, since no
// peer counts it.
func (d *dispatcher) suspectState() (unstored, isolated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.Unstored(d.isolated), d.isolated
}

// loadSuspects merges the stored suspects into the table.
func (d *dispatcher) loadSuspects(stored []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, err := d.crashes.Load(time.Now(), stored)
	d.onSuspects(changes)
	return err
}

// encodeSuspects returns what to store.
func (d *dispatcher) encodeSuspects() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.Encode(time.Now(), d.isolated)
}

// suspectsNotStored records that the last change did not reach the store.
func (d *dispatcher) suspectsNotStored() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes.NotStored()
}
