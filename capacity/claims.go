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
)

const (
	claimAnswerBytes = 500
	leaseTime        = 10 * time.Minute
	leaseTick        = 100 * time.Millisecond
)

var (
	claimCounts = []int{50, 100, 200, 400}
	leaseCounts = []int{1, 4, 16, 64}
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
		Table:   platform.NewTable(platform.Options{URL: site.TableURL, Client: wire.Client(16)}),
		Objects: platform.NewObjects(platform.Options{URL: site.ObjectsURL}),
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
		if d := ledger.Claim(ctx, key, []byte("digest"), nonce); d.Verdict != claim.Run {
			return fmt.Errorf("claim %d: verdict %v", i, d.Verdict)
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

// Leases measures the calls per second of one lease against the processes that
// compete for it, in virtual time.
func Leases() []*Series {
	set := newSet(Control, "router", "routers that compete for a lease", []string{
		"reads/s of the table service", "writes/s of the table service",
	})
	for _, n := range leaseCounts {
		for r := range repetitions {
			reads, writes := leases(n, r)
			set.add(float64(n), float64(reads)/leaseTime.Seconds(), float64(writes)/leaseTime.Seconds())
		}
	}
	return set.finish()
}

// leases runs n competitors that started a different time apart.
func leases(n, apart int) (reads, writes int) {
	began := time.Unix(0, 0)
	var row platform.Row
	revision := 0
	competitors := make([]*lease.Lease, n)
	for i := range competitors {
		competitors[i] = lease.New(fmt.Sprintf("router-%d", i))
	}
	for at := time.Duration(0); at < leaseTime; at += leaseTick {
		now := began.Add(at)
		for i, l := range competitors {
			if at < time.Duration(i*apart)*leaseTick {
				continue
			}
			a, ok := l.Next(now)
			if !ok {
				continue
			}
			if !a.Write {
				reads++
				l.Result(now, a, row, readError(row))
				continue
			}
			writes++
			if a.Expected != row.Revision {
				l.Result(now, a, platform.Row{}, platform.ErrConflict)
				continue
			}
			revision++
			row = platform.Row{Value: a.Value, Revision: platform.Revision(fmt.Sprint(revision))}
			l.Result(now, a, row, nil)
		}
	}
	return reads, writes
}

func readError(row platform.Row) error {
	if row.Revision == "" {
		return platform.ErrNotFound
	}
	return nil
}
