package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/claim"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	claimAnswerBytes = 500
	holderLifetime   = 10 * time.Minute
	leaseTick        = 100 * time.Millisecond
)

var (
	claimCounts = []int{50, 100, 200, 400}
	leaseCounts = []int{2, 16, 64, 128, 410}
)

// MeasureClaims measures the calls to the table service and their bytes against
// the number of requests that must not run twice, each with an answer of 500
// bytes.
func MeasureClaims() ([]*Series, error) {
	group := newSeriesGroup(Data, "agent", "requests that must not run twice", []string{
		"writes of the table service", "reads of the table service", "bytes to and from the table service",
	})
	for _, n := range claimCounts {
		for range repetitions {
			if err := measureClaims(n, group); err != nil {
				return nil, err
			}
		}
	}
	return group.finish(), nil
}

func measureClaims(n int, group *seriesGroup) error {
	site, err := StartSite(1, standin.EngineOptions{})
	if err != nil {
		return err
	}
	defer site.Close()
	counter := &TrafficCounter{}
	ledger := claim.New(claim.Options{
		Table:   platform.NewTable(storage.Options{URL: site.TableURL, Client: counter.Client(16)}),
		Objects: platform.NewObjectStore(storage.Options{URL: site.ObjectsURL}),
		Agent:   "agent-1", Address: "127.0.0.1:7002",
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- ledger.Serve(ctx) }()
	defer func() {
		stop()
		<-ended
	}()
	for i := range n {
		key := claim.Key{ClientAccount: "account-0001", Service: "ledger", IdempotencyKey: fmt.Sprintf("key-%06d", i)}
		nonce := fmt.Sprintf("agent-1/%d", i)
		if d := ledger.Claim(ctx, key, []byte("digest"), nonce); d.Kind != claim.Run {
			return fmt.Errorf("claim %d: decision %v", i, d.Kind)
		}
		ledger.Finish(nonce, claim.Outcome{Execution: resultcode.Ran, Status: 200, Body: make([]byte, claimAnswerBytes)})
	}
	if err := ledger.Flush(ctx); err != nil {
		return err
	}
	count := site.Table.Counts()["claim"]
	group.add(float64(n), float64(count.Writes), float64(count.Reads), float64(counter.Traffic().Bytes()))
	return nil
}

// MeasureLeases measures in virtual time the calls per second that one lease
// causes, and the calls in the minute after its holder was lost, against the
// number of routers that compete for it.
func MeasureLeases() []*Series {
	group := newSeriesGroup(Control, "router", "routers that compete for a lease", []string{
		"reads/s of the table service", "writes/s of the table service",
		"reads in the minute after the holder was lost", "writes in the minute after the holder was lost",
	})
	for _, n := range leaseCounts {
		for r := range repetitions {
			steady, lost := simulateLeases(n, r)
			seconds := holderLifetime.Seconds()
			group.add(float64(n), float64(steady.reads)/seconds, float64(steady.writes)/seconds,
				float64(lost.reads), float64(lost.writes))
		}
	}
	return group.finish()
}

type leaseCalls struct{ reads, writes int }

// simulateLeases runs n candidates whose starts are ticksApart ticks apart. The
// first one becomes the holder and is lost after holderLifetime. The results are
// the calls before that and in the minute after it.
func simulateLeases(n, ticksApart int) (steady, lost leaseCalls) {
	start := time.Unix(0, 0)
	table := &leaseTable{}
	candidates := make([]*lease.Election, n)
	for i := range candidates {
		candidates[i] = lease.NewElection(fmt.Sprintf("router-%d", i))
	}
	for at := time.Duration(0); at < holderLifetime+time.Minute; at += leaseTick {
		if at == holderLifetime {
			steady, table.leaseCalls = table.leaseCalls, leaseCalls{}
		}
		for i, e := range candidates {
			stopped := i == 0 && at >= holderLifetime
			if stopped || at < time.Duration(i*ticksApart)*leaseTick {
				continue
			}
			if a, ok := e.Next(start.Add(at)); ok {
				table.call(start.Add(at), e, a)
			}
		}
	}
	return steady, table.leaseCalls
}

// leaseTable is a table with one row that counts its reads and writes.
type leaseTable struct {
	leaseCalls
	row      storage.Row
	revision int
}

func (t *leaseTable) call(now time.Time, e *lease.Election, a lease.Action) {
	if !a.Write {
		t.reads++
		e.HandleResult(now, a, t.row, readError(t.row))
		return
	}
	t.writes++
	if a.Expected != t.row.Revision {
		e.HandleResult(now, a, storage.Row{}, storage.ErrConflict)
		return
	}
	t.revision++
	t.row = storage.Row{Value: a.Value, Revision: storage.Revision(fmt.Sprint(t.revision))}
	e.HandleResult(now, a, t.row, nil)
}

func readError(row storage.Row) error {
	if row.Revision == "" {
		return storage.ErrNotFound
	}
	return nil
}
