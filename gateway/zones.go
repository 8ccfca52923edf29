package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// setZoneSpill lets requests leave the availability zone by share if the settings ask for
// it.
func (d *dispatcher) setZoneSpill(s Settings, rng *rand.Rand) {
	if !*s.features().ZoneSpill {
		return
	}
	price := placement.DefaultZonePrice
	if s.ZonePrice != nil {
		price = *s.ZonePrice
	}
	d.fleet.SetZoneSpill(placement.ZoneSpillOptions{
		Rand: rng, Price: price, OnChange: func(c placement.SpillChange) { d.onSpill(c) },
	})
}

// choose chooses the endpoint of a request. One that would be refused for its expected time
// in the own zone is placed in any zone that is quick enough: no request is refused for lack
// of time while another zone has it, whatever the share is.
func (d *dispatcher) choose(now time.Time, w *placement.Work, r admission.Request) (placement.Choice, bool) {
	choice, found := d.fleet.Choose(now, w)
	if !found || d.gate.InTime(r, choice) {
		return choice, found
	}
	if other, found := d.fleet.ChooseInAnyZone(now, w); found && d.gate.InTime(r, other) {
		return other, true
	}
	return choice, true
}

// onConnected returns the function to call with the time that it took to open a connection
// to an endpoint; nil without the feature, so that connections don't wait for the mutex.
func (d *dispatcher) onConnected() func(address string, took time.Duration) {
	if !*d.settings.features().ZoneSpill {
		return nil
	}
	return func(address string, took time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.fleet.Connected(time.Now(), address, took)
	}
}

// zoneShares calls report with the share of each service's requests that may leave the
// zone.
func (d *dispatcher) zoneShares(report func(service string, share float64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.ZoneShares(report)
}

func (g *Gateway) logSpill(c placement.SpillChange) {
	message := "requests no longer leave the zone"
	if c.Active {
		message = "requests leave the zone"
	}
	g.log.Info().Str("service", c.Service).Float64("share", c.Share).Msg(message)
}

// countZoneTraffic counts the attempts of a request in other zones, and the bytes of its
// body that were sent there.
func (g *Gateway) countZoneTraffic(r relay.Record) {
	m := &g.options.Metrics
	for _, a := range r.Attempts {
		if a.OtherZone != "" {
			labels := telemetry.ZoneLabels{Zone: a.OtherZone}
			m.ZoneRequests.Add(1, labels)
			m.ZoneBytes.Add(int64(r.BodyBytes), labels)
		}
	}
}
