package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/usage"
)

const (
	// maxUsage bounds the usage entries in a statement.
	maxUsage = 256
	// usageFinalSlack is how long after the end of a window a plain attempt sent in it may be
	// open before it counts as begun, so that the counts of the window become final. Reports
	// wait 4 s after the end of a window; the statements need the rest.
	usageFinalSlack = 2 * time.Second
	// usageSettleTime is the time after the start in which no window is stated final: true
	// time may be wrong until the peers are heard.
	usageSettleTime = 2 * time.Second
	// usageLogDelay is the time after the end of a window at which it is logged as incomplete.
	usageLogDelay = 4 * time.Second
	// maxClockDeviation is the difference of the wall clock from true time that is logged.
	maxClockDeviation = 500 * time.Millisecond
	// farewellStatements is the least number of statements that a drained gateway sends at its
	// end, maxFarewells the largest one, and farewellPause the time between them.
	farewellStatements = placementRepeat
	maxFarewells       = 10
	farewellPause      = 15 * time.Millisecond
)

// usageState counts the requests that endpoints began to run. The mutex of the dispatcher
// guards it.
type usageState struct {
	clock  *usage.Clock
	ledger *usage.Ledger
	// wall returns the wall-clock time of a moment.
	wall      func(now time.Time) time.Time
	startedAt time.Time
	// stated is the final window in the last statement.
	stated int64
	// closing is set once the gateway has drained.
	closing bool
	// loggedWindow is the last window that was checked for the log, and deviates whether the
	// wall clock was last logged to differ from true time.
	loggedWindow int64
	deviates     bool
	onCounted    func()
}

// newUsageState returns the state that the settings ask for; nil for none.
func newUsageState(d Duties, now time.Time) *usageState {
	if !d.reportsUsage() {
		return nil
	}
	return &usageState{
		clock: usage.NewClock(now), ledger: usage.NewLedger(d.reportWindow()), startedAt: now,
		wall: func(now time.Time) time.Time { return now }, onCounted: func() {},
	}
}

// startUsage sets the source of the counts of this process.
func (d *dispatcher) startUsage(address string, started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.usage; u != nil {
		u.ledger.Start(usage.Source{Address: address, Incarnation: uint64(started.UnixMicro())}, u.trueTime(time.Now()))
	}
}

func (u *usageState) trueTime(now time.Time) time.Time { return u.clock.Now(now, u.wall(now)) }

// openUsage records the window in which an attempt was sent. The mutex is held.
func (d *dispatcher) openUsage(a *placedAttempt, now time.Time, account string) {
	if u := d.usage; u != nil {
		a.account, a.usageWindow = account, u.ledger.Window(u.trueTime(now))
	}
}

// count counts an attempt in a window unless it is anonymous or was counted.
func (u *usageState) count(a *placedAttempt, w int64) {
	if a.counted || a.account == "" {
		return
	}
	a.counted = true
	u.ledger.Count(w, a.account)
	u.onCounted()
}

// countStarted counts an attempt with a first event or the head of a plain response. The
// mutex is held.
func (d *dispatcher) countStarted(now time.Time, a *placedAttempt) {
	u := d.usage
	if u == nil {
		return
	}
	w := a.usageWindow
	trueTime := u.trueTime(now)
	u.ledger.Advance(trueTime)
	if a.streaming {
		w = u.ledger.Window(trueTime)
	}
	u.count(a, w)
}

// countEnded counts a plain attempt that ended without a head, but was sent: the endpoint
// may have run it. The mutex is held.
func (d *dispatcher) countEnded(now time.Time, a *placedAttempt, r relay.AttemptResult) {
	u := d.usage
	if u == nil || a.started || a.streaming {
		return
	}
	switch r {
	case relay.ResultRejected, relay.ResultUnreachable, relay.ResultReplaced, relay.ResultUnsent, relay.ResultUnproven:
		return
	}
	u.ledger.Advance(u.trueTime(now))
	u.count(a, a.usageWindow)
}

// advanceUsage drops the counts of old windows, and states windows final that have ended and
// into which no open attempt can count. The mutex is held.
func (d *dispatcher) advanceUsage(now time.Time) {
	u := d.usage
	trueTime := u.trueTime(now)
	u.ledger.Advance(trueTime)
	final, open := u.ledger.Window(trueTime)-1, false
	for a := range d.inFlight {
		if a.streaming || a.counted || a.account == "" {
			continue
		}
		if trueTime.Sub(u.ledger.End(a.usageWindow)) > usageFinalSlack {
			u.count(a, a.usageWindow)
			continue
		}
		final, open = min(final, a.usageWindow-1), true
	}
	switch {
	case u.closing && !open:
		u.ledger.Finalize(usage.Closed)
	case now.Sub(u.startedAt) >= usageSettleTime:
		u.ledger.Finalize(final)
	}
}

// hasUnstatedUsage reports whether the last statement had no room for all changed counts, or
// the counts of a window have become final since. Reports wait for both, and the next regular
// statement of the largest site is 5 s away. The mutex is held.
func (d *dispatcher) hasUnstatedUsage(now time.Time) bool {
	u := d.usage
	if u != nil && u.ledger.Behind() {
		return true
	}
	if u == nil || u.ledger.Window(u.trueTime(now))-1 <= u.stated {
		return false
	}
	d.advanceUsage(now)
	return u.ledger.Final() > u.stated
}

// addUsage adds the time of day and the counts of this gateway to a statement.
func (d *dispatcher) addUsage(now time.Time, s *wire.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.usage
	if u == nil {
		return
	}
	d.advanceUsage(now)
	s.UnixMs = u.wall(now).UnixMilli()
	for _, e := range u.ledger.Statement(maxUsage) {
		s.Usage = append(s.Usage, &wire.Usage{Window: e.Window, Account: e.Account, Count: e.Count})
	}
	u.stated = u.ledger.Final()
	s.UsageFinalWindow = u.stated
}

// applyUsage applies the time of day and the counts in a peer's statement. A peer that
// states no time counts nothing. The mutex is held.
func (d *dispatcher) applyUsage(now time.Time, s *wire.Statement) {
	u := d.usage
	if u == nil || s.UnixMs == 0 {
		return
	}
	u.clock.Observe(now, s.Sender, s.UnixMs)
	u.ledger.Advance(u.trueTime(now))
	entries := make([]usage.Entry, 0, min(len(s.Usage), maxUsage))
	for _, e := range s.Usage[:min(len(s.Usage), maxUsage)] {
		entries = append(entries, usage.Entry{Window: e.Window, Account: e.Account, Count: e.Count})
	}
	u.ledger.Apply(usage.Source{Address: s.Sender, Incarnation: s.Incarnation}, s.UsageFinalWindow, entries)
}

// closeUsage states in the next statements that this gateway counts nothing more. It returns
// false if nothing is counted.
func (d *dispatcher) closeUsage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.usage == nil {
		return false
	}
	d.usage.closing = true
	return true
}

// usageClosed reports whether the last statements held all counts and stated them final.
func (d *dispatcher) usageClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usage.stated == usage.Closed && !d.usage.ledger.Unstated()
}

// usageLedger is the ledger of a dispatcher that counts usage, guarded by its mutex, for the
// duty that reports it.
type usageLedger struct{ *dispatcher }

// locked calls do with the ledger as of now.
func (l usageLedger) locked(do func(*usage.Ledger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceUsage(time.Now())
	do(l.usage.ledger)
}

// TrueTime returns the estimate of true time.
func (l usageLedger) TrueTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.trueTime(time.Now())
}

// Totals returns the counts by client account of a window over all gateways.
func (l usageLedger) Totals(w int64) (totals map[string]uint64) {
	l.locked(func(u *usage.Ledger) { totals = u.Totals(w) })
	return totals
}

// Complete reports whether all counts of a window are known and final.
func (l usageLedger) Complete(w int64) (complete bool) {
	l.locked(func(u *usage.Ledger) { complete = u.Complete(w) })
	return complete
}

// Windows returns the first window that the site counted and the latest one that has begun;
// ok is false before the first count.
func (l usageLedger) Windows() (first, latest int64, ok bool) {
	l.locked(func(u *usage.Ledger) { first, latest, ok = u.Windows() })
	return first, latest, ok
}

// Revision increases with each change of the counts.
func (l usageLedger) Revision() (revision uint64) {
	l.locked(func(u *usage.Ledger) { revision = u.Revision() })
	return revision
}

// Encode returns the counts by source as values of rows of at most 48 KiB each.
func (l usageLedger) Encode() (rows [][]byte, err error) {
	l.locked(func(u *usage.Ledger) { rows, err = u.Encode() })
	return rows, err
}

// Merge adds the counts of a row that Encode returned; merging twice has no effect.
func (l usageLedger) Merge(value []byte) (err error) {
	l.locked(func(u *usage.Ledger) { err = u.Merge(value) })
	return err
}
