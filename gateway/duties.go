package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/duty"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// usageLease is the name of the lease whose holder reports the usage.
	usageLease = "usage"
	// leaseMarginShare is the margin for clock drift as a share of the TTL. It is far above
	// the drift of clocks, and also covers the time between reading a clock and using it.
	leaseMarginShare = 0.2
	// leaseCallInterval is the time between two renewals, and between two reads of a
	// candidate; calls are charged. Two renewals may fail within a TTL of 3 s.
	leaseCallInterval = time.Second
	// leaseRetryInterval is the pause after a failed call for the lease.
	leaseRetryInterval = 500 * time.Millisecond
)

// DutyStore is the part of the platform's store that keeps the lease and the rows of duties.
type DutyStore interface {
	lease.Table
	duty.Rows
}

// duties are the duties of a gateway: the election for their lease and their holder.
type duties struct {
	elector *lease.Elector
	holder  *duty.Holder
}

// newDuties returns the duties that the settings ask for, or nil if there are none, if there
// is no ledger, or if the platform's interfaces are not given. trueTime estimates true time.
func newDuties(g *Gateway, ledger duty.Ledger, trueTime func() time.Time, rng *rand.Rand) *duties {
	o := &g.options
	s := o.Settings.Duties
	if ledger == nil || !s.reportsUsage() || o.DutyStore == nil || o.UsageClient == nil {
		return nil
	}
	clock := duty.NewClock(duty.SystemBootClock)
	ttl := time.Duration(s.LeaseTTLMS * float64(time.Millisecond))
	self := o.Settings.Listen.Peers
	elector := lease.NewElector(lease.Options{
		Table: o.DutyStore, Name: usageLease, Self: fmt.Sprintf("%s@%s/%x", o.Settings.Name, self, rng.Uint64()), Now: clock.Now,
		Times: lease.Times{
			TTL: ttl, Margin: time.Duration(leaseMarginShare * float64(ttl)), CoolDown: true,
			Renew: min(leaseCallInterval, ttl/3), Observe: min(leaseCallInterval, ttl/3), Retry: min(leaseRetryInterval, ttl/6),
		},
		CallTimeout: min(duty.CallTimeout, ttl/3),
		Candidate: func() bool {
			return !g.draining.Load() && duty.IsCandidate(usageLease, self, g.dispatcher.peersAlive())
		},
	})
	var holder *duty.Holder
	reporter := duty.NewReporter(duty.ReporterOptions{
		Ledger: ledger, CallsPerSecond: s.CallsPerS, Rand: rng,
		Window:  time.Duration(s.ReportWindowS * float64(time.Second)),
		Delay:   time.Duration(s.ReportDelayS * float64(time.Second)),
		OnEvent: func(e duty.Event) { holder.LogEvent(e) },
	})
	holder = duty.NewHolder(duty.HolderOptions{
		Owner: o.Settings.Name, Elector: elector, Reporter: reporter, Rows: o.DutyStore, Client: o.UsageClient,
		Now: clock.Now, TrueTime: trueTime, StoreEra: g.storeStatus.Era, Log: g.log,
		OnReport: func(outcome string) { o.Metrics.UsageReports.Add(1, telemetry.ResultLabels{Outcome: outcome}) },
	})
	d := &duties{elector, holder}
	d.registerMetrics(&o.Metrics)
	return d
}

// services returns the supervised services of the duties; d may be nil.
func (d *duties) services() []serviceFunc {
	if d == nil {
		return nil
	}
	return []serviceFunc{{"duty lease", d.elector.Serve}, {"duties", d.holder.Serve}}
}

// release gives up the lease, so that another gateway takes over at once; d may be nil.
func (d *duties) release() {
	if d != nil {
		d.holder.Release()
	}
}

func (d *duties) registerMetrics(m *telemetry.Gateway) {
	m.DutyLeaseHeld.Observe(func(set func(float64, telemetry.NoLabels)) {
		held := 0.0
		if d.holder.Holding() {
			held = 1
		}
		set(held, telemetry.NoLabels{})
	})
	m.OldestUnsentReport.Observe(func(set func(float64, telemetry.NoLabels)) {
		set(d.holder.OldestUnsent().Seconds(), telemetry.NoLabels{})
	})
}

// peersAlive returns the addresses of the peers with a recent statement.
func (d *dispatcher) peersAlive() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.alivePeers
}
