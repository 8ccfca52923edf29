package gateway

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/versions"
)

const (
	// versionsKey is the key of the row with the designated versions of the services.
	versionsKey = siteRowsPrefix + "versions"
	// blindRetryAfter is the Retry-After of a new stream at a gateway that may have missed a
	// change of the designated version; other gateways accept it at once.
	blindRetryAfter = 100 * time.Millisecond
	// undesignatedRetryAfter is the Retry-After of a new stream while its service has several
	// versions and no place among those with designations.
	undesignatedRetryAfter = time.Second
	// maxRowsWait is how long such a stream waits for the rows of the site, and rowsPause how
	// long until it is checked again: about as long as the store takes.
	maxRowsWait = 300 * time.Millisecond
	rowsPause   = 20 * time.Millisecond
	// announcePerGateway is the time for each gateway that a change of the shares which is
	// not urgent is stated before it takes effect: a bit more than an early statement takes.
	announcePerGateway = 3 * time.Millisecond
	minAnnounceTime    = 300 * time.Millisecond
	// urgentStoreWait is how long a change without which new streams have no endpoint waits
	// for the store.
	urgentStoreWait = 500 * time.Millisecond
	// storeSpreadPerGateway is the time for each gateway over which the gateways spread their
	// writes of a change that all of them see: the first one is written as soon on a large
	// site, and the others hear of it.
	storeSpreadPerGateway = 20 * time.Millisecond
)

// pickService draws a service of the route by the weights of its traffic split. A stream that
// may be resumed gets the service that follows from its id, so that every gateway sends it to
// the same one.
func (d *dispatcher) pickService(r *routing.Route, stream string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stream != "" {
		return d.serviceOf(r, xxhash.Sum64String(stream))
	}
	return d.serviceOf(r, 0)
}

// serviceOf returns the service of a route that follows from the hash of the name of a stream;
// a random one for zero. The mutex is held.
func (d *dispatcher) serviceOf(r *routing.Route, name uint64) string {
	if name == 0 {
		return r.Pick(d.rng.Float64())
	}
	return r.Pick(float64(name>>11) / (1 << 53))
}

// TakeUp implements relay.Placer. A gateway that hears of nothing for a moment does not know
// whether the stream began with a change that it has missed. What it knows of the endpoints
// says nothing about that: it may have missed them as well. One that may have missed which
// attempts took a stream up derives nothing from a name that could be theirs.
func (d *dispatcher) TakeUp(r *routing.Route, t relay.TakeUp) relay.TakenUp {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.observeRunning(now)
	origin := d.versions.Origin(now, t.Resumes)
	result := relay.TakenUp{Stream: origin.Name, Source: origin.Source}
	if origin.Name == "" && origin.Root != 0 {
		result.Stream = hex(origin.Root)
	}
	if r != nil {
		var kept bool
		if result.Service, kept = d.keptService(now, r, origin); kept {
			result.Version, result.Known = d.resolve(now, result.Service, t)
		}
	}
	d.recordTakeUp(now, r, t, result)
	return result
}

// resolve returns the version at which a stream that is taken up began. The mutex is held.
func (d *dispatcher) resolve(now time.Time, service string, t relay.TakeUp) (string, bool) {
	current := d.contact.silentFor(now) <= silentAfter
	name := t.Resumes
	knowsAliases := !d.keepsRows || d.contact.knowsAliases(now, t.Arrived, d.peerMissing(now))
	if !knowsAliases && !d.versions.Origin(now, name).Known {
		// The name may be that of an attempt that took the stream up.
		name = ""
	}
	version, known := d.versions.Resolve(now, service, name, t.TimeLeft, current)
	if !known && !(current && knowsAliases) {
		d.contact.aliasesWanted = !knowsAliases
		d.wantRows()
	}
	return version, known
}

// observeRunning records that this process runs. If it stood still, it may have missed
// changes of the endpoints, too. The mutex is held.
func (d *dispatcher) observeRunning(now time.Time) {
	if gap := d.contact.ran(now); gap > versions.BlindAfter {
		d.wantRows()
		d.onStandstill(gap)
	}
}

// wantRows lets the rows of the site be read at once. The mutex is held.
func (d *dispatcher) wantRows() {
	d.contact.rowsWanted = true
	d.wakeRows()
}

// StreamBegan implements relay.Placer.
func (d *dispatcher) StreamBegan(attempt, service, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.Began(time.Now(), attempt, service, version)
}

// StreamBroke implements relay.Placer.
func (d *dispatcher) StreamBroke(attempt string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.Broke(attempt)
}

// restrictVersion restricts a stream that may be resumed to endpoints of one version: the one
// that began it, or the one that follows from its name if it is new. It returns a refusal
// if the gateway may have missed a change. The mutex is held.
func (d *dispatcher) restrictVersion(now time.Time, w *placement.Work, r relay.AdmissionRequest) *relay.Refusal {
	w.OnlyVersion = false
	switch {
	case !r.Resumable:
		return nil
	case r.Continues != nil && *r.Continues == "":
		// Endpoints whose entries name no version may be of different ones.
		return &relay.Refusal{Reason: relay.VersionUnknown, RetryAfter: undesignatedRetryAfter}
	case r.Continues != nil:
		w.OnlyVersion, w.Version = true, *r.Continues
		return nil
	}
	d.versions.ObserveDeadline(w.Service, r.CallerTime)
	version, known := d.versions.Pick(now, w.Service, r.ID)
	switch {
	case !known && d.servesSeveral(w.Service):
		// Others may follow the name of the stream.
		return &relay.Refusal{Reason: relay.VersionUnknown, RetryAfter: undesignatedRetryAfter}
	case !known:
		return nil
	}
	unread := d.mixed && d.keepsRows && !d.versions.Complete()
	if silent := d.contact.silentFor(now) > versions.BlindAfter; silent || unread {
		d.wantRows()
		refusal := &relay.Refusal{Reason: relay.VersionUnknown, RetryAfter: blindRetryAfter}
		if r.Paused < maxRowsWait {
			refusal.Pause = rowsPause
		}
		return refusal
	}
	w.OnlyVersion, w.Version = true, version
	return nil
}

// servesSeveral reports whether the endpoints of a service are of several versions. The mutex is
// held.
func (d *dispatcher) servesSeveral(service string) bool {
	version, found, several := "", false, false
	d.registry.Entries(func(e registry.Entry) {
		if e.Service != service {
			return
		}
		several = several || found && e.Version != version
		version, found = e.Version, true
	})
	return several
}

// isSilent reports whether the rows of the site should be read because no peer has sent a
// statement for a while: in which the designated version of a service may change, or a
// request needs to know whether it did.
func (d *dispatcher) isSilent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return (d.mixed || d.contact.rowsWanted) && d.contact.silentFor(now) > silentAfter
}

// rowsRead records that the rows of the site were read by a call that began at a time.
func (d *dispatcher) rowsRead(began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contact.rowsRead(began)
}

// rowsRestored records that the store came back from an older copy, which may lack the latest
// rows of the site.
func (d *dispatcher) rowsRestored() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes.NotStored()
	d.versions.NotStored()
	d.versions.AliasesNotStored()
	d.scheduleStore(time.Now())
}

// versionCount holds the number of endpoints of each version of a service.
type versionCount map[string]versions.Count

// versionCounts returns the endpoints of each version of the services with streams that may
// be resumed. The mutex is held.
func (d *dispatcher) versionCounts() map[string]versionCount {
	counts := make(map[string]versionCount, len(d.resumable))
	d.registry.Entries(func(e registry.Entry) {
		if _, ok := d.resumable[e.Service]; !ok {
			return
		}
		if counts[e.Service] == nil {
			counts[e.Service] = make(versionCount)
		}
		c := counts[e.Service][e.Version]
		c.Listed++
		if !e.Draining {
			c.Ready++
		}
		counts[e.Service][e.Version] = c
	})
	return counts
}

// proposal is a change of the versions of new streams that is compared with the store first.
type proposal struct {
	versions.Change
	at time.Time
}

// observeVersions updates the versions of new streams by the known endpoints. The mutex is
// held.
func (d *dispatcher) observeVersions(now time.Time) {
	d.mixed = false
	for service, counts := range d.versionCounts() {
		d.mixed = d.mixed || len(counts) > 1
		change, needed := d.versions.Observe(now, service, counts)
		if !needed {
			delete(d.proposed, service)
			continue
		}
		p, known := d.proposed[service]
		if !known || p.Sequence != change.Sequence {
			p.at = now
		}
		p.Change = change
		d.proposed[service] = p
		if change.Urgent && (!d.keepsRows || now.Sub(p.at) > urgentStoreWait) {
			d.adoptVersions(now, service)
		}
	}
	d.scheduleStore(now)
}

// scheduleStore determines when changes are to be written. Urgent ones are at once. The mutex
// is held.
func (d *dispatcher) scheduleStore(now time.Time) {
	urgent := false
	for _, p := range d.proposed {
		urgent = urgent || p.Urgent
	}
	switch {
	case urgent:
		d.storeVersionsAt = now
		d.wakeRows()
	case d.storeVersionsAt.IsZero() && (d.versions.Unstored() || len(d.proposed) > 0):
		spread := storeSpreadPerGateway * time.Duration(len(d.alivePeers)+1)
		d.storeVersionsAt = now.Add(time.Duration(d.rng.Int64N(int64(spread))))
	}
}

// adoptVersions makes the proposed change of a service. The mutex is held.
func (d *dispatcher) adoptVersions(now time.Time, service string) {
	p := d.proposed[service]
	delete(d.proposed, service)
	delay := max(minAnnounceTime, announcePerGateway*time.Duration(len(d.alivePeers)+1))
	if d.versions.Adopt(now, delay, p.Change) {
		d.onVersion(p.Change)
	}
}

// setResumable records which services have streams that may be resumed, and how long at
// most. The mutex is held.
func (d *dispatcher) setResumable(timeouts map[string]time.Duration) {
	d.resumable = timeouts
	for service, timeout := range timeouts {
		d.versions.ObserveDeadline(service, timeout)
	}
}

// addVersions adds the designated versions and the broken streams to a statement.
func (d *dispatcher) addVersions(now time.Time, s *wire.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	statement := d.versions.Statement(now, len(d.alivePeers)+1)
	s.LaterNamedMs = encodeLaterNamed(now, d.versions.LaterNamedAt())
	for _, b := range statement.Broken {
		s.BrokenStreams = append(s.BrokenStreams, encodeStream(b))
	}
	for _, x := range statement.Designations {
		w := &wire.Designations{Service: x.Service, Sequence: x.Sequence, DeadlineMs: uint64(x.MaxDeadline.Milliseconds()), Stored: x.Stored}
		for _, span := range x.Spans {
			designation := &wire.Designation{First: span.From.IsZero()}
			for _, share := range span.Shares {
				designation.Shares = append(designation.Shares, &wire.Share{Version: share.Version, Weight: uint32(share.Weight)})
			}
			if !designation.First {
				designation.AgoMs = now.Sub(span.From).Milliseconds()
			}
			w.Spans = append(w.Spans, designation)
		}
		s.Designations = append(s.Designations, w)
	}
	s.AllDesignations = statement.Complete
}

// applyVersions applies the designated versions and the broken streams in a peer's
// statement. The mutex is held.
func (d *dispatcher) applyVersions(now time.Time, s *wire.Statement) {
	d.observeRunning(now)
	d.contact.heard(now, s.AllDesignations || !d.versions.Complete())
	for _, b := range s.BrokenStreams {
		d.versions.RecordBroken(now, decodeStream(b))
	}
	if ms := s.LaterNamedMs; ms > 0 {
		d.versions.LaterNamed(now, now.Add(-time.Duration(ms-1)*time.Millisecond))
	}
	d.peerHeard(now, s)
	if d.contact.distrusts(now) {
		// The times of an old statement are too late by the standstill.
		return
	}
	for _, w := range s.Designations {
		x := versions.Designations{Service: w.Service, Sequence: w.Sequence, MaxDeadline: statedMS(w.DeadlineMs), Stored: w.Stored, HeardAt: now}
		for _, span := range w.Spans {
			stated := versions.Span{}
			if !span.First {
				stated.From = now.Add(-statedAge(span.AgoMs))
			}
			for _, share := range span.Shares {
				stated.Shares = append(stated.Shares, versions.Share{Version: share.Version, Weight: int(share.Weight)})
			}
			x.Spans = append(x.Spans, stated)
		}
		if change, changed := d.versions.Record(x); changed {
			delete(d.proposed, change.Service)
			d.onVersion(change)
		}
	}
	if s.AllDesignations {
		d.versions.RecordComplete()
	}
}

// maxStatedMS bounds a stated number of milliseconds, so that a faulty peer can't make a time
// overflow.
const maxStatedMS = math.MaxInt64 / int64(4*time.Millisecond)

func statedMS(n uint64) time.Duration {
	return time.Duration(min(n, uint64(maxStatedMS))) * time.Millisecond
}

func statedAge(n int64) time.Duration {
	return time.Duration(max(min(n, maxStatedMS), -maxStatedMS)) * time.Millisecond
}

// versionsRow is the row with the designated versions. It implements siteRow.
type versionsRow struct{ *dispatcher }

func (versionsRow) key() string { return versionsKey }

// load implements siteRow. Changes that had to be compared with the row first are made.
func (r versionsRow) load(now time.Time, storeTime time.Duration, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, err := r.versions.Load(now, storeTime, value)
	for _, c := range changes {
		r.onVersion(c)
	}
	for service := range r.proposed {
		if !now.Before(r.storeVersionsAt) {
			r.adoptVersions(now, service)
		}
	}
	return err
}

func (r versionsRow) unstored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.versions.Unstored() && len(r.proposed) == 0 {
		r.storeVersionsAt = time.Time{}
		return false
	}
	return !time.Now().Before(r.storeVersionsAt)
}

func (r versionsRow) encode(now time.Time, storeTime time.Duration) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeVersionsAt = time.Time{}
	return r.versions.Encode(now, storeTime)
}

func (r versionsRow) notStored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.NotStored()
}

func (g *Gateway) logVersion(c versions.Change) {
	shares := zerolog.Dict()
	for _, x := range c.Shares {
		shares = shares.Int(x.Version, x.Weight)
	}
	g.log.Info().Str("service", c.Service).Dict("shares", shares).Uint64("sequence", c.Sequence).Bool("by_peer", c.ByPeer).
		Msg("versions of new streams changed")
}
