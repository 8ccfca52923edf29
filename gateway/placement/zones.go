package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultZonePrice is the cost of a MiB sent to another availability zone, in missed
	// targets. It is the rate of zoneByteCost: a body of 16 KiB costs 0.08.
	DefaultZonePrice = zoneByteCost * bytesPerMiB
	bytesPerMiB      = 1 << 20
	// answerBytesPerToken is the assumed size of a token in an answer: about four
	// characters and its part of the event around it.
	answerBytesPerToken = 16
	// minZoneGain is the gain, in targets, below which no request leaves: the mean waits of
	// equally loaded zones differ by up to a tenth from one moment to the next.
	minZoneGain = 0.1
	// fullShareGain is the gain beyond the price, in targets, at which all requests leave,
	// if the knowledge of the other gateways' requests is recent.
	fullShareGain = 0.5
	// fullShareAges is the lower bound of that gain as a multiple of the time in which
	// requests of other gateways stay unknown. With a smaller multiple, all gateways go on
	// sending for longer than a queue needs to form, and zones exchange their loads.
	fullShareAges = 2.5
	// waitSmoothing is the time constant of the waits. With 150 ms and more, simulated
	// shares oscillate, since it adds to the age of the loads.
	waitSmoothing = 50 * time.Millisecond
	// waitRefresh is the shortest time between two updates of the waits.
	waitRefresh = 10 * time.Millisecond
	// shareSmoothing is the time constant of the share. It averages over requests of
	// different targets and sizes.
	shareSmoothing = 50 * time.Millisecond
	// maxSharePerMS is the largest change of the share in a millisecond: a tenth in 100 ms.
	maxSharePerMS = 0.1 / 100
	// spillIdleTime is the time without a request after which a share falls to 0.
	spillIdleTime = time.Second
	// spillLogPause is the shortest time between two reported changes of a service.
	spillLogPause = 2 * time.Second
	// minLoggedShare is the share from which a service counts as sending to other zones.
	minLoggedShare = 0.01
	// maxZones bounds the zones that are compared.
	maxZones = 16
	// latencySmoothing is the weight of the newest connection in the latency of a zone.
	latencySmoothing = 0.1
	// connectLifetime is the time after which the connection time of a zone is forgotten. A
	// price that is too high for any request would otherwise never be measured again.
	connectLifetime = 30 * time.Second
)

// ZoneSpillOptions configures the choice between availability zones.
type ZoneSpillOptions struct {
	// Rand draws which requests may leave the zone.
	Rand *rand.Rand
	// Price is the cost of a MiB sent to another zone in missed targets.
	Price float64
	// OnChange is called when a service begins or ends to send requests to other zones.
	OnChange func(SpillChange)
}

// SpillChange is a service's begin or end of sending requests to other zones.
type SpillChange struct {
	Service string
	Active  bool
	Share   float64
}

// zoneSpill holds what the choice between zones needs beside the loads.
type zoneSpill struct {
	options ZoneSpillOptions
	// connectMS is the smoothed time to open a connection to an endpoint, in
	// milliseconds, by zone.
	connectMS map[string]connectTime
}

// connectTime is a smoothed time to open a connection, in milliseconds, as of a time.
type connectTime struct {
	ms float64
	at time.Time
}

// zoneShare is the share of the requests of this gateway for one service that may leave
// the zone.
type zoneShare struct {
	share float64
	// own and others are the smoothed waits of the zones at waitsAt.
	own     zoneWait
	others  []zoneWait
	waitsAt time.Time
	// unknownMS is Fleet.unknownMS at waitsAt; it visits all peers.
	unknownMS float64
	// updatedAt is when the share last moved, and requestAt the time of the last request.
	updatedAt, requestAt time.Time
	// reported is the state of the last SpillChange, at reportedAt.
	reported   bool
	reportedAt time.Time
}

// zoneWait is the smoothed mean expected wait at the usable endpoints of a zone.
type zoneWait struct {
	zone string
	// ms is the mean wait in milliseconds, and full the mean load beyond slots and memory
	// relative to their size.
	ms, full  float64
	endpoints int
}

// SetZoneSpill lets requests leave the availability zone by share instead of by a
// constant cost.
func (f *Fleet) SetZoneSpill(o ZoneSpillOptions) {
	f.spill = &zoneSpill{options: o, connectMS: make(map[string]connectTime)}
}

// Connected records how long it took to open a connection to an address. Times are kept
// for at most maxZones zones.
func (f *Fleet) Connected(now time.Time, address string, took time.Duration) {
	if f.spill == nil {
		return
	}
	for _, e := range f.endpoints {
		if e.Address == address {
			f.spill.observeConnect(now, e.Zone, float64(took)/float64(time.Millisecond))
			return
		}
	}
}

func (z *zoneSpill) observeConnect(now time.Time, zone string, ms float64) {
	old, known := z.connectMS[zone]
	switch {
	case known:
		z.connectMS[zone] = connectTime{old.ms + latencySmoothing*(ms-old.ms), now}
	case len(z.connectMS) < maxZones:
		z.connectMS[zone] = connectTime{ms, now}
	}
}

// zoneLatencyMS returns how much longer a round trip to a zone takes than one in the own
// zone, in milliseconds; zero if it is not known.
func (f *Fleet) zoneLatencyMS(zone string) float64 {
	there, known := f.spill.connectMS[zone]
	here, ownKnown := f.spill.connectMS[f.zone]
	if !known || !ownKnown {
		return 0
	}
	return max(there.ms-here.ms, 0)
}

// zonePrice returns the price of a request in another zone, in targets: the time on the
// network, and the bytes of the body and of the expected answer.
func (f *Fleet) zonePrice(w *Work, zone string) float64 {
	bytes := float64(w.BodyBytes) + float64(w.OutputTokens)*answerBytesPerToken
	return f.zoneLatencyMS(zone)/targetMS(w) + f.spill.options.Price*bytes/bytesPerMiB
}

// zoneCostOf returns the cost of an endpoint due to its zone.
func (f *Fleet) zoneCostOf(e *endpoint, w *Work) float64 {
	switch {
	case e.Zone == f.zone:
		return 0
	case f.spill == nil:
		return zoneCost + zoneByteCost*float64(w.BodyBytes)
	}
	return f.zonePrice(w, e.Zone)
}

// chooseZone returns the cheapest endpoint of the own zone or of another one; false if no
// usable endpoint accepts the request. A request leaves the zone
//   - if no endpoint of the zone accepts it,
//   - if the draw by the share of the service allows it and it starts earlier elsewhere by
//     more than the price,
//   - or if the prompt parts that it shares are cached elsewhere and not in the zone, and
//     the saved prefill exceeds the price. This gain does not depend on the loads, so it
//     needs no damping.
func (f *Fleet) chooseZone(now time.Time, s *service, w *Work) (Choice, bool) {
	usable := func(e *endpoint) bool { return f.usable(now, e) }
	destinations := f.updateShare(now, s, w)
	local, found := f.cheapest(now, s, w, func(e *endpoint) bool { return e.Zone == f.zone && usable(e) })
	if !found {
		return f.cheapest(now, s, w, usable)
	}
	drawn := len(destinations) > 0 && f.spill.options.Rand.Float64() < s.spill.share
	source, _ := s.fetchSource(now, w, func(e *endpoint) bool { return f.isSource(now, e) })
	cachedElsewhere := source != nil && source.Zone != f.zone
	if !drawn && !cachedElsewhere {
		return local, true
	}
	limited := slices.Clone(f.limitedCosts)
	other, found := f.cheapest(now, s, w, func(e *endpoint) bool {
		if e.Zone == f.zone || !usable(e) {
			return false
		}
		return drawn && slices.Contains(destinations, e.Zone) || cachedElsewhere && e == source
	})
	if found && f.gains(s, w, local, other, drawn) {
		return other, true
	}
	f.limitedCosts = limited
	return local, true
}

// ChooseInAnyZone returns the endpoint with the lowest cost in all zones, regardless of the
// share; false if there is none, or if the zones are chosen by cost only.
func (f *Fleet) ChooseInAnyZone(now time.Time, w *Work) (Choice, bool) {
	s := f.services[w.Service]
	if s == nil || f.spill == nil {
		return Choice{}, false
	}
	return f.cheapest(now, s, w, func(e *endpoint) bool { return f.usable(now, e) })
}

// gains reports whether a request is better off in another zone by more than the price.
// For a request that was not drawn, only saved prefill counts.
func (f *Fleet) gains(s *service, w *Work, local, other Choice, drawn bool) bool {
	price := f.zonePrice(w, other.Endpoint.Zone)
	saved := float64(local.Uncached-other.Uncached)/s.prefillSpeed().Rate - s.fetchTimeMS(&endpoint{Endpoint: other.Endpoint}, other.Fetched) +
		s.fetchTimeMS(&endpoint{Endpoint: local.Endpoint}, local.Fetched)
	gain := float64(local.Expected-other.Expected) / float64(time.Millisecond) / targetMS(w)
	if drawn && (gain > price || !local.Free && other.Free) {
		return true
	}
	return saved/targetMS(w) > price+minZoneGain && gain > price
}

// updateShare moves the share of the service towards the one that this request calls for.
// It returns the zones in which the request is expected to gain.
func (f *Fleet) updateShare(now time.Time, s *service, w *Work) []string {
	f.smoothWaits(now, s, w)
	own, others := s.spill.own, s.spill.others
	ownWait, mean := own.relative(w), meanWait(own, others).relative(w)
	var destinations []string
	best := 0.0
	for _, o := range others {
		wait := o.relative(w)
		gain := ownWait - wait - f.zonePrice(w, o.zone) - minZoneGain
		if gain > 0 && ownWait > mean+minZoneGain && wait < mean {
			destinations = append(destinations, o.zone)
			best = max(best, gain)
		}
	}
	fullGain := max(fullShareGain, fullShareAges*s.spill.unknownMS/targetMS(w))
	s.spill.requestAt = now
	s.spill.move(now, min(best/fullGain, 1))
	f.reportSpill(now, w.Service, s)
	return destinations
}

// meanWait returns the mean wait over the endpoints of all zones. Zones above it by
// minZoneGain send and zones below it receive, so that no zone does both.
func meanWait(own zoneWait, others []zoneWait) zoneWait {
	ms, full, endpoints := 0.0, 0.0, 0
	for _, z := range append(others, own) {
		ms += z.ms * float64(z.endpoints)
		full += z.full * float64(z.endpoints)
		endpoints += z.endpoints
	}
	n := float64(max(endpoints, 1))
	return zoneWait{ms: ms / n, full: full / n, endpoints: endpoints}
}

// smoothWaits updates the smoothed waits of the zones, at most once in waitRefresh. A zone
// that has just become usable begins with its present wait, and one without usable
// endpoints is dropped.
func (f *Fleet) smoothWaits(now time.Time, s *service, w *Work) {
	z := &s.spill
	elapsed := now.Sub(z.waitsAt)
	if elapsed < waitRefresh {
		return
	}
	own, others := f.zoneWaits(now, s, w)
	weight := 1 - math.Exp(-float64(elapsed)/float64(waitSmoothing))
	own.smooth(z.own, weight)
	for i := range others {
		if k := slices.IndexFunc(z.others, func(o zoneWait) bool { return o.zone == others[i].zone }); k >= 0 {
			others[i].smooth(z.others[k], weight)
		}
	}
	z.own, z.others, z.waitsAt, z.unknownMS = own, others, now, f.unknownMS(now)
}

// smooth moves a previous wait towards this one by a weight, and keeps the result.
func (z *zoneWait) smooth(previous zoneWait, weight float64) {
	if previous.endpoints > 0 && z.endpoints > 0 {
		z.ms = previous.ms + weight*(z.ms-previous.ms)
		z.full = previous.full + weight*(z.full-previous.full)
	}
}

// relative returns the wait in targets. Waiting for a slot or memory has no expected
// time; it counts as in the cost of an endpoint.
func (z zoneWait) relative(w *Work) float64 {
	if z.endpoints == 0 {
		return math.Inf(1)
	}
	return z.ms/targetMS(w) + overloadCost*z.full
}

// zoneWaits returns the mean waits of the own zone and of all others with usable
// endpoints.
func (f *Fleet) zoneWaits(now time.Time, s *service, w *Work) (own zoneWait, others []zoneWait) {
	own.zone = f.zone
	for _, e := range s.members {
		if e.draining || f.isPaused != nil && f.isPaused(now, e.hash) || !f.usable(now, e) {
			continue
		}
		z := &own
		if e.Zone != f.zone {
			i := slices.IndexFunc(others, func(o zoneWait) bool { return o.zone == e.Zone })
			if i < 0 && len(others) == maxZones {
				continue
			}
			if i < 0 {
				others = append(others, zoneWait{zone: e.Zone})
				i = len(others) - 1
			}
			z = &others[i]
		}
		ms, full := s.expectedWait(now, e, w)
		z.ms, z.full, z.endpoints = z.ms+ms, z.full+full, z.endpoints+1
	}
	mean := func(z *zoneWait) {
		z.ms, z.full = z.ms/float64(max(z.endpoints, 1)), z.full/float64(max(z.endpoints, 1))
	}
	mean(&own)
	for i := range others {
		mean(&others[i])
	}
	return own, others
}

// expectedWait returns the time in milliseconds that a request waits for others at an
// endpoint, and the load beyond its slots or memory relative to their size.
func (s *service) expectedWait(now time.Time, e *endpoint, w *Work) (ms, full float64) {
	load, _ := e.totalLoad(now)
	slots := float64(max(e.Slots, 1))
	excess := max(float64(load.Running+1)/slots-1, 0)
	if !w.Streaming {
		return s.plainMS * e.slowness * excess, 0
	}
	memory := float64(load.Memory) / max(float64(e.MemoryTokens)*(1-memoryReserve), 1)
	return float64(load.Prefill) * e.slowness / s.prefillSpeed().Rate, max(excess, memory-1, 0)
}

// unknownMS returns how long requests of other gateways stay unknown here, in
// milliseconds: the interval between statements, which is twice their mean age, less the
// part that is due to this gateway, which knows its own requests at once. The interval
// grows with the number of gateways.
func (f *Fleet) unknownMS(now time.Time) float64 {
	if len(f.statements) == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range f.statements {
		sum += sinceMS(now, s.at)
	}
	peers := float64(len(f.statements))
	return 2 * sum / peers * peers / (peers + 1)
}

// move moves the share towards a desired one, by at most maxSharePerMS.
func (z *zoneShare) move(now time.Time, desired float64) {
	elapsed := 0.0
	if !z.updatedAt.IsZero() {
		elapsed = max(sinceMS(now, z.updatedAt), 0)
	}
	z.updatedAt = now
	step := (desired - z.share) * (1 - math.Exp(-elapsed/float64(shareSmoothing.Milliseconds())))
	limit := maxSharePerMS * elapsed
	z.share += min(max(step, -limit), limit)
}

// RefreshZones lowers the shares of services without requests, and forgets the connection
// times of zones to which none was opened within connectLifetime.
func (f *Fleet) RefreshZones(now time.Time) {
	if f.spill == nil {
		return
	}
	maps.DeleteFunc(f.spill.connectMS, func(_ string, c connectTime) bool { return now.Sub(c.at) >= connectLifetime })
	for name, s := range f.services {
		if now.Sub(s.spill.requestAt) >= spillIdleTime {
			s.spill.move(now, 0)
			f.reportSpill(now, name, s)
		}
	}
}

// reportSpill reports a begin or an end of sending to other zones.
func (f *Fleet) reportSpill(now time.Time, name string, s *service) {
	z := &s.spill
	active := z.share >= minLoggedShare
	if active == z.reported || now.Sub(z.reportedAt) < spillLogPause {
		return
	}
	z.reported, z.reportedAt = active, now
	if f.spill.options.OnChange != nil {
		f.spill.options.OnChange(SpillChange{Service: name, Active: active, Share: z.share})
	}
}

// ZoneShares calls report with the share of each service's requests that may leave the
// zone; none while zones are chosen by cost only.
func (f *Fleet) ZoneShares(report func(service string, share float64)) {
	if f.spill == nil {
		return
	}
	for name, s := range f.services {
		report(name, s.spill.share)
	}
}
