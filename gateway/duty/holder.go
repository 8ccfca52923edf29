package duty

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// tickInterval is how often the holder checks whether a step is due.
	tickInterval = 50 * time.Millisecond
	// failureLogInterval is the least time between two log lines about failures of one kind.
	failureLogInterval = 5 * time.Second
	// maxLeaseNumber is the highest lease number that fits into a fencing token beside the era.
	maxLeaseNumber = 1<<32 - 1
	eraShift       = 32
)

// errLeaseEnds means that a call was not made since the lease could end before its time-out.
var errLeaseEnds = errors.New("duty: lease ends before the time-out of the call")

// Elector is the part of lease.Elector that a Holder uses.
type Elector interface {
	Current() (lease.Lease, bool)
	Resign()
}

// HolderOptions configures a Holder. All fields but OnEvent are required.
type HolderOptions struct {
	// Owner is the name of this gateway, as it is stated to the platform.
	Owner    string
	Elector  Elector
	Reporter *Reporter
	Rows     Rows
	Client   Client
	// Now is the clock of the lease, and TrueTime the estimate of true time.
	Now, TrueTime func() time.Time
	// StoreEra returns the latest era of the store that this gateway knows.
	StoreEra func() uint64
	Log      zerolog.Logger
	// OnReport is called with the outcome of each call to the platform: ok, unavailable,
	// unknown or rejected.
	OnReport func(outcome string)
}

// Holder makes the calls of the duties while this gateway holds the lease.
type Holder struct {
	options  HolderOptions
	held     *lease.Lease
	release  atomic.Bool
	released bool
	// holding and oldestUnsent, in nanoseconds, are read by the metrics.
	holding      atomic.Bool
	oldestUnsent atomic.Int64
	failuresAt   map[EventKind]time.Time
}

// NewHolder returns a holder of the options. The events of the reporter are to be passed to
// LogEvent.
func NewHolder(o HolderOptions) *Holder {
	return &Holder{options: o, failuresAt: make(map[EventKind]time.Time)}
}

// Release makes the holder stop its calls and give up the lease, so that another gateway
// takes over at once. A call in progress ends first.
func (h *Holder) Release() { h.release.Store(true) }

// Holding reports whether the gateway holds the lease, and OldestUnsent the age of the oldest
// window that ended and was not reported; zero while another gateway holds the lease.
func (h *Holder) Holding() bool { return h.holding.Load() }

// OldestUnsent returns the age of the oldest window that was not reported; see Holding.
func (h *Holder) OldestUnsent() time.Duration { return time.Duration(h.oldestUnsent.Load()) }

// Serve performs the duties until ctx ends.
func (h *Holder) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		for h.step(ctx) {
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// step makes the next call, if one is due, and reports whether it made one.
func (h *Holder) step(ctx context.Context) bool {
	if h.release.Load() {
		h.resign()
		return false
	}
	current, ok := h.checkLease()
	if !ok || ctx.Err() != nil {
		return false
	}
	m := h.moment(current.Era)
	if !h.mayCall(m.Now.Add(CallTimeout)) {
		return false
	}
	s := h.options.Reporter.Next(m)
	h.oldestUnsent.Store(int64(h.options.Reporter.OldestUnsent(m)))
	if s.Kind == StepNone {
		return false
	}
	rows, err := h.perform(ctx, s, m.Now.Add(CallTimeout))
	h.options.Reporter.Handle(h.moment(current.Era), s, rows, err)
	return true
}

func (h *Holder) moment(era uint64) Moment {
	return Moment{Now: h.options.Now(), True: h.options.TrueTime(), Era: max(era, h.options.StoreEra())}
}

// resign gives up the lease once.
func (h *Holder) resign() {
	if h.released {
		return
	}
	h.released = true
	if h.held != nil {
		h.options.Log.Info().Uint64("token", token(*h.held)).Msg("lease on duties is released")
	}
	h.held = nil
	h.holding.Store(false)
	h.oldestUnsent.Store(0)
	h.options.Elector.Resign()
}

// checkLease compares the lease with what was known before, and returns it if it is held. A
// lease that may have ended in between counts as a new one, since another gateway may have
// held it.
func (h *Holder) checkLease() (lease.Lease, bool) {
	current, ok := h.options.Elector.Current()
	ok = ok && current.Number <= maxLeaseNumber
	now := h.options.Now()
	h.holding.Store(ok)
	if h.held != nil && (!ok || current.Number != h.held.Number || !now.Before(h.held.ValidUntil)) {
		h.options.Log.Warn().Uint64("token", token(*h.held)).Msg("lease on duties was lost")
		h.held = nil
		h.oldestUnsent.Store(0)
	}
	if !ok {
		h.options.Reporter.Observe(h.moment(0), false)
		return lease.Lease{}, false
	}
	if h.held == nil {
		h.options.Log.Info().Uint64("token", token(current)).Msg("lease on duties is held")
		h.options.Reporter.Observe(h.moment(current.Era), false)
		h.options.Reporter.Begin(now)
	}
	h.held = &current
	return current, true
}

// token returns the fencing token of a lease. It rises also when the store is restored from a
// copy with a lower number.
func token(l lease.Lease) uint64 { return l.Era<<eraShift | l.Number }

// mayCall reports whether the lease stays valid for longer than until end, so that a call
// which ends by then cannot arrive after another gateway took over.
func (h *Holder) mayCall(end time.Time) bool {
	current, ok := h.options.Elector.Current()
	return ok && h.options.Now().Before(end) && end.Before(current.ValidUntil)
}

// perform makes the call of a step, which ends by the time end.
func (h *Holder) perform(ctx context.Context, s Step, end time.Time) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	switch s.Kind {
	case StepLoad:
		rows, _, err := h.options.Rows.Snapshot(ctx, s.Prefix)
		return rows, err
	case StepWrite:
		return h.options.Rows.PutBatch(ctx, s.Rows)
	}
	current, ok := h.options.Elector.Current()
	if !ok {
		return nil, errLeaseEnds
	}
	ctx = withWriteCheck(ctx, func() error {
		now, ok := h.options.Elector.Current()
		if !ok || now.Number != current.Number || !h.mayCall(end) {
			return errLeaseEnds
		}
		return nil
	})
	err := h.options.Client.Report(ctx, h.options.Owner, token(current), s.Window, s.Counts)
	h.options.OnReport(outcomeOf(err))
	return nil, err
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, storage.ErrOutcomeUnknown):
		return "unknown"
	case errors.Is(err, storage.ErrRejected):
		return "rejected"
	}
	return "unavailable"
}

// LogEvent logs an event of the reporter. Failures of one kind are logged once in
// failureLogInterval.
func (h *Holder) LogEvent(e Event) {
	log := h.options.Log
	var requests uint64
	for _, n := range e.Counts {
		requests += n
	}
	switch e.Kind {
	case EventRecorded:
		log.Info().Int64("window", e.Window).Int("accounts", len(e.Counts)).Uint64("requests", requests).Msg("usage report is recorded")
		return
	case EventSent:
		log.Info().Int64("window", e.Window).Int("accounts", len(e.Counts)).Uint64("requests", requests).Msg("usage report is sent")
		return
	case EventLoaded:
		log.Debug().Msg("rows of usage reports were read")
		return
	case EventDropped:
		log.Error().Int64("window", e.Window).Uint64("requests", requests).Msg("usage report was never accepted and is dropped")
		return
	}
	if now := h.options.Now(); now.Sub(h.failuresAt[e.Kind]) >= failureLogInterval {
		h.failuresAt[e.Kind] = now
		log.Warn().Err(e.Err).Str("kind", string(e.Kind)).Int64("window", e.Window).Msg("duty failed; it is tried again")
	}
}
