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
	leaseTime        = 10 * time.Minute
	leaseTick        = 100 * time.Millisecond
)

var (
	claimCounts = []int{50, 100, 200, 400}
	leaseCounts = []int{2, 16, 64, 128, 410}
)

// Claims measures the calls and bytes of the table service against requests
// that must not run twice, each with an answer of 500 bytes.
func Claims() ([]*Series, error) {
	set := newSet(Data, "agent", "requests that must not run twice", []string{
		"writes of the table service", "reads of the table service", "bytes to and from the table service",
	})
	for _, n := range claimCounts {
		for range repetitions {
			if err := claims(n, set); err != nil {
				return nil, err
			}
		}
	}
	return set.finish(), nil
}

func claims(n int, set *set) error {
	site, err := StartSite(1, standin.EngineOptions{})
	if err != nil {
		return err
	}
	defer site.Close()
	wire := &Wire{}
	ledger := claim.New(claim.Options{
		Table:   platform.NewTable(storage.Options{URL: site.TableURL, Client: wire.Client(16)}),
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
			return fmt.Errorf("claim %d: verdict %v", i, d.Kind)
		}
		ledger.Finish(nonce, claim.Outcome{Execution: resultcode.Ran, Status: 200, Body: make([]byte, claimAnswerBytes)})
	}
	if err := ledger.Flush(ctx); err != nil {
		return err
	}
	count := site.Table.Counts()["claim"]
	set.add(float64(n), float64(count.Writes), float64(count.Reads), float64(wire.Traffic().Bytes()))
	return nil
}

// Leases measures the calls per second of one lease against the routers that
// compete for it, in virtual time, and the calls in the minute after its holder
// was lost.
func Leases() []*Series {
	set := newSet(Control, "router", "routers that compete for a lease", []string{
		"reads/s of the table service", "writes/s of the table service",
		"reads in the minute after the holder was lost", "writes in the minute after the holder was lost",
	})
	for _, n := range leaseCounts {
		for r := range repetitions {
			steady, lost := leases(n, r)
			seconds := leaseTime.Seconds()
			set.add(float64(n), float64(steady.reads)/seconds, float64(steady.writes)/seconds,
				float64(lost.reads), float64(lost.writes))
		}
	}
	return set.finish()
}

type leaseCalls struct{ reads, writes int }

// leases runs n competitors that started a number of ticks apart. The first one
// becomes the holder; it is lost after leaseTime.
func leases(n, apart int) (steady, lost leaseCalls) {
	began := time.Unix(0, 0)
	table := &leaseTable{}
	competitors := make([]*lease.Election, n)
	for i := range competitors {
		competitors[i] = lease.NewElection(fmt.Sprintf("router-%d", i))
	}
	for at := time.Duration(0); at < leaseTime+time.Minute; at += leaseTick {
		if at == leaseTime {
			steady, table.leaseCalls = table.leaseCalls, leaseCalls{}
		}
		for i, l := range competitors {
			stopped := i == 0 && at >= leaseTime
			if stopped || at < time.Duration(i*apart)*leaseTick {
				continue
			}
			if a, ok := l.Next(began.Add(at)); ok {
				table.call(began.Add(at), l, a)
			}
		}
	}
	return steady, table.leaseCalls
}

// leaseTable is a table of one row that counts calls.
type leaseTable struct {
	leaseCalls
	row      storage.Row
	revision int
}

func (t *leaseTable) call(now time.Time, l *lease.Election, a lease.Action) {
	if !a.Write {
		t.reads++
		l.HandleResult(now, a, t.row, readError(t.row))
		return
	}
	t.writes++
	if a.Expected != t.row.Revision {
		l.HandleResult(now, a, storage.Row{}, storage.ErrConflict)
		return
	}
	t.revision++
	t.row = storage.Row{Value: a.Value, Revision: storage.Revision(fmt.Sprint(t.revision))}
	l.HandleResult(now, a, t.row, nil)
}

func readError(row storage.Row) error {
	if row.Revision == "" {
		return storage.ErrNotFound
	}
	return nil
}
