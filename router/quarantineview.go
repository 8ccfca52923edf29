package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// evidenceInterval is the mean time between reads of the shared evidence. At 410
// routers it causes 82 reads a second.
const evidenceInterval = 5 * time.Second

// quarantineView is the router's evidence against requests that crash endpoints.
// It implements dispatch.Quarantine and is safe for concurrent use.
type quarantineView struct {
	exchange *quarantine.Exchange
	rng      *rand.Rand

	mu    sync.Mutex
	table *quarantine.Table
}

func newQuarantineView(rows quarantine.Rows, seed uint64) *quarantineView {
	return &quarantineView{
		exchange: quarantine.NewExchange(rows),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		table:    quarantine.New(),
	}
}

// String names the service in the supervisor's reports.
func (v *quarantineView) String() string { return "quarantine reader" }

// Serve reads the shared evidence until ctx ends. While the store is down, the
// evidence that came with refusals stays in use.
func (v *quarantineView) Serve(ctx context.Context) error {
	for {
		records, err := v.exchange.Read(ctx)
		if err == nil {
			v.mu.Lock()
			v.table.Merge(time.Now(), records)
			v.mu.Unlock()
		}
		wait := evidenceInterval/2 + time.Duration(v.rng.Int64N(int64(evidenceInterval)))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// Learn takes evidence from an agent.
func (v *quarantineView) Learn(now time.Time, e *rpc.Evidence) {
	r, ok := quarantine.FromMessage(now, e)
	if !ok {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Merge(now, []quarantine.Record{r})
}

// Evidence returns what is known against a request.
func (v *quarantineView) Evidence(now time.Time, digest []byte) *rpc.Evidence {
	f, ok := quarantine.FingerprintOf(digest)
	if !ok {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.table.Lookup(now, f)
	if !ok {
		return nil
	}
	return r.Message(now)
}

// Condemned reports whether the request is refused.
func (v *quarantineView) Condemned(now time.Time, digest []byte) bool {
	f, ok := quarantine.FingerprintOf(digest)
	if !ok {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Verdict(now, f) == quarantine.Condemned
}
