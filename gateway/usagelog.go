package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/usage"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// maxLoggedSources bounds the sources in one line.
const maxLoggedSources = 8

// usageChanges is what changed since the last call of usageChanges.
type usageChanges struct {
	// window is a window that is not complete usageLogDelay after its end, and awaited the
	// sources that it lacks counts of; none for no such window.
	window  int64
	awaited []usage.Source
	// dropped is the number of counts that were not recorded because of a bound.
	dropped uint64
	// deviation is the wall-clock time minus true time, and deviates whether it is large;
	// changed is set if deviates has changed.
	deviation         time.Duration
	deviates, changed bool
}

// usageChanges returns what is to be logged; each window is looked at once.
func (d *dispatcher) usageChanges(now time.Time) (news usageChanges) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.usage
	if u == nil {
		return news
	}
	trueTime := u.trueTime(now)
	news.deviation = u.wall(now).Sub(trueTime)
	news.deviates = news.deviation.Abs() > maxClockDeviation
	news.changed, u.deviates = news.deviates != u.deviates, news.deviates
	d.advanceUsage(now)
	first, _, counted := u.ledger.Windows()
	w := u.ledger.Window(trueTime.Add(-usageLogDelay)) - 1
	if !counted || w < first || w <= u.loggedWindow {
		return news
	}
	u.loggedWindow = w
	if !u.ledger.Complete(w) {
		news.window, news.awaited, news.dropped = w, u.ledger.Awaited(w), u.ledger.Dropped()
	}
	return news
}

// logUsage logs a window without the counts of some gateways, and a wall clock that differs
// from those of the peers or agrees with them again.
func (g *Gateway) logUsage(n usageChanges) {
	if n.changed {
		g.log.Info().Int64("deviation_ms", ms(n.deviation)).Bool("deviates", n.deviates).
			Msg("wall clock compared with the other gateways")
	}
	if len(n.awaited) == 0 {
		return
	}
	var addresses []string
	for _, s := range n.awaited[:min(len(n.awaited), maxLoggedSources)] {
		addresses = append(addresses, s.Address)
	}
	g.log.Info().Int64("window", n.window).Int("awaited", len(n.awaited)).Strs("gateways", addresses).
		Uint64("dropped", n.dropped).Msg("usage window lacks final counts of gateways")
}

// observeUsage registers the metrics of usage.
func (g *Gateway) observeUsage() {
	if g.dispatcher.usage == nil {
		return
	}
	m := &g.options.Metrics
	g.dispatcher.usage.onCounted = func() { m.UsageRequests.Add(1, telemetry.NoLabels{}) }
	m.UsageIncomplete.Observe(func(set func(float64, telemetry.NoLabels)) {
		n := 0
		usageLedger{g.dispatcher}.locked(func(u *usage.Ledger) { n = u.Incomplete() })
		set(float64(n), telemetry.NoLabels{})
	})
}
