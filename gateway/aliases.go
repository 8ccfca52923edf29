package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/versions"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// aliasesPrefix is the prefix of the keys of the rows with the attempts that took a stream
	// up, one for each gateway.
	aliasesPrefix = siteRowsPrefix + "aliases/"
	// minAliasesInterval and aliasesPerGateway determine the least time between two writes of
	// such a row: the gateways together write at most 200 a second.
	minAliasesInterval = 50 * time.Millisecond
	aliasesPerGateway  = 5 * time.Millisecond
	// maxAliasesWait is the longest such time for which an answer to a caller waits.
	maxAliasesWait = 100 * time.Millisecond
	// maxHeardPeers bounds the peers whose last statement is remembered; it is about twice the
	// largest site.
	maxHeardPeers = 1024
	// missingAfter and missingAfterPerGateway determine the time without a statement after
	// which a peer is missing: about three regular ones. After missingUntil most streams that
	// it may have taken up have ended.
	missingAfter           = 200 * time.Millisecond
	missingAfterPerGateway = 36 * time.Millisecond
	missingUntil           = 10 * time.Second
	// aliasesReadInterval is how often the rows are read for requests that name a stream while
	// this gateway may not know which attempts took streams up.
	aliasesReadInterval = 100 * time.Millisecond
)

// heardPeer is the last statement of a peer.
type heardPeer struct {
	incarnation uint64
	at          time.Time
}

// peerHeard records a statement of a peer. If that has just started, it is told which attempts
// took streams up. The mutex is held.
func (d *dispatcher) peerHeard(now time.Time, s *wire.Statement) {
	last, known := d.heardPeers.Peek(s.Sender)
	d.heardPeers.Add(s.Sender, heardPeer{s.Incarnation, now})
	if !known || last.incarnation != s.Incarnation {
		d.versions.Restate(now, len(d.alivePeers)+1, d.rng)
	}
}

// peerMissing reports whether a peer that was heard lately is not heard now. The mutex is held.
func (d *dispatcher) peerMissing(now time.Time) bool {
	missing := max(missingAfter, missingAfterPerGateway*time.Duration(len(d.alivePeers)))
	// The peers are in the order in which they were heard.
	for {
		address, p, ok := d.heardPeers.GetOldest()
		silent := now.Sub(p.at)
		if !ok || silent < missingUntil {
			return ok && silent > missing
		}
		d.heardPeers.Remove(address)
	}
}

// wantsAliases reports whether a request waits for the rows of the gateways.
func (d *dispatcher) wantsAliases() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.aliasesWanted
}

// rowsFailed records that the rows can't be read.
func (d *dispatcher) rowsFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contact.rowsFailed = true
}

// encodeStream returns the message for a stream that is stated or stored.
func encodeStream(b versions.BrokenStream) *wire.BrokenStream {
	return &wire.BrokenStream{
		Id: b.ID, Version: b.Version, Root: b.Root, Unknown: b.Unknown, RootName: b.RootName, Service: b.Service,
		AgeMs: uint32(min(b.Age.Milliseconds(), math.MaxUint32)),
	}
}

// decodeStream is the inverse of encodeStream.
func decodeStream(b *wire.BrokenStream) versions.BrokenStream {
	return versions.BrokenStream{
		ID: b.Id, Version: b.Version, Root: b.Root, Unknown: b.Unknown, RootName: b.RootName, Service: b.Service,
		Age: time.Duration(b.AgeMs) * time.Millisecond,
	}
}

// aliasesKey returns the key of the row of this gateway.
func (d *dispatcher) aliasesKey() string { return aliasesPrefix + d.settings.Listen.Peers }

// aliasesInterval returns the least time between two writes of the row. The mutex is held.
func (d *dispatcher) aliasesInterval() time.Duration {
	return max(minAliasesInterval, aliasesPerGateway*time.Duration(len(d.alivePeers)+1))
}

// aliasesDue reports whether the row of this gateway is to be written. The mutex is held.
func (d *dispatcher) aliasesDue(now time.Time) bool {
	return d.keepsRows && d.versions.AliasesUnstored() && now.Sub(d.aliasesStoredAt) >= d.aliasesInterval()
}

// TakeUpKept implements relay.Placer. A large site writes its rows too seldom to wait for them.
func (d *dispatcher) TakeUpKept(attempt string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.aliasesDue(now) {
		d.wakeRows()
	}
	return d.versions.Kept(attempt, len(d.alivePeers) > 0, d.keepsRows && d.aliasesInterval() <= maxAliasesWait)
}

// wakeRows lets the keeper of the rows check them at once.
func (d *dispatcher) wakeRows() {
	select {
	case d.wakeKeeper <- struct{}{}:
	default:
	}
}

// loadAliases applies a row with attempts that took a stream up at a gateway.
func (d *dispatcher) loadAliases(now time.Time, storeTime time.Duration, row storage.Row) error {
	var stored wire.TakenUpStreams
	if err := proto.Unmarshal(row.Value, &stored); err != nil {
		return fmt.Errorf("decode taken-up streams: %w", err)
	}
	since := max(storeTime-time.Duration(min(max(stored.AtMs, 0), maxStatedMS))*time.Millisecond, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	if ms := stored.LaterNamedMs; ms > 0 {
		d.versions.LaterNamed(now, now.Add(-since-time.Duration(ms-1)*time.Millisecond))
	}
	for _, s := range stored.Streams {
		b := decodeStream(s)
		b.Age += since
		if row.Key == d.aliasesKey() {
			d.versions.RecordOwnAlias(now, b)
			continue
		}
		d.versions.RecordBroken(now, b)
	}
	return nil
}

// aliasesToStore returns the attempts to write, and false if no write is due.
func (d *dispatcher) aliasesToStore(now time.Time) ([]versions.BrokenStream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.aliasesDue(now) {
		return nil, false
	}
	d.aliasesStoredAt = now
	list := d.versions.AliasesToStore(now)
	return list, len(list) > 0
}

// laterNamedMS returns what is stored of callers that name later attempts.
func (d *dispatcher) laterNamedMS(now time.Time) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return encodeLaterNamed(now, d.versions.LaterNamedAt())
}

// encodeLaterNamed returns the milliseconds since a time, plus one; zero for a zero time or one
// longer ago than versions.LaterNamesFor.
func encodeLaterNamed(now, at time.Time) uint32 {
	ago := max(now.Sub(at), 0)
	if at.IsZero() || ago > versions.LaterNamesFor {
		return 0
	}
	return uint32(ago.Milliseconds()) + 1
}

// recordTakeUp records an attempt that takes a stream up. The mutex is held.
func (d *dispatcher) recordTakeUp(now time.Time, r *routing.Route, t relay.TakeUp, result relay.TakenUp) {
	distrusted := d.versions.DistrustsNames(now)
	d.versions.TakenUp(now, t.Attempt, t.Resumes, result.Service, result.Version, result.Known)
	if t.Attempt != "" && result.Service != "" && d.serviceOf(r, xxhash.Sum64String(t.Attempt)) != result.Service {
		d.versions.Keep(t.Attempt)
	}
	if !distrusted && d.versions.DistrustsNames(now) {
		d.onLaterNamed(t.Attempt, t.Resumes)
	}
}

// logLaterNamed logs the first caller that named an attempt which did not begin its stream.
func (g *Gateway) logLaterNamed(attempt, resumes string) {
	g.log.Warn().Str("id", attempt).Str("resumes", resumes).
		Msg("a caller names an attempt that did not begin its stream: names that no gateway knows are not resolved for a while")
}

// aliasesStored records that the store has attempts.
func (d *dispatcher) aliasesStored(list []versions.BrokenStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.AliasesStored(list)
}

// loadAliases applies the rows of the gateways with attempts that took a stream up.
func (k *rowKeeper) loadAliases(now time.Time, storeTime time.Duration, rows []storage.Row) {
	own := k.gateway.dispatcher.aliasesKey()
	k.storeTime, k.storeTimeAt, k.aliasesRevision = storeTime, now, ""
	for _, row := range rows {
		if row.Key == own {
			k.aliasesRevision = row.Revision
		}
		if !strings.HasPrefix(row.Key, aliasesPrefix) {
			continue
		}
		if err := k.gateway.dispatcher.loadAliases(now, storeTime, row); err != nil {
			k.gateway.log.Warn().Err(err).Str("row", row.Key).Msg("stored row is not valid")
		}
	}
}

// writeAliases writes the row of this gateway if that is due. Only this gateway writes it, so
// that its revision is known.
func (k *rowKeeper) writeAliases(ctx context.Context, now time.Time) error {
	list, due := k.gateway.dispatcher.aliasesToStore(now)
	if !due {
		return nil
	}
	row := &wire.TakenUpStreams{AtMs: (k.storeTime + now.Sub(k.storeTimeAt)).Milliseconds(), LaterNamedMs: k.gateway.dispatcher.laterNamedMS(now)}
	for _, b := range list {
		row.Streams = append(row.Streams, encodeStream(b))
	}
	value, err := proto.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode taken-up streams: %w", err)
	}
	written, err := k.store.Put(ctx, k.gateway.dispatcher.aliasesKey(), value, k.aliasesRevision)
	if errors.Is(err, storage.ErrConflict) {
		// An earlier write took effect although its answer was lost. The next check reads
		// the revision.
		k.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	k.aliasesRevision = written.Revision
	k.gateway.dispatcher.aliasesStored(list)
	return nil
}
