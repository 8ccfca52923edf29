package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// evidenceInterval is the mean time between reads of the shared evidence. At 410
// routers it causes 82 reads a second.
const evidenceInterval = 5 * time.Second

const (
	// shareTimeout bounds how long the answer to a condemned request waits for
	// the other routers to know it.
	shareTimeout = 200 * time.Millisecond

	// maxShareCalls bounds the routers that are told at the same time.
	maxShareCalls = 64
)

// quarantineView is the router's evidence against requests that crash endpoints.
// It implements dispatch.Quarantine and is safe for concurrent use.
type quarantineView struct {
	exchange *quarantine.Exchange
	rng      *rand.Rand
	client   *dispatch.Client
	// routers lists the peer addresses of the routers of the site.
	routers func() []string

	mu    sync.Mutex
	table *quarantine.Table
}

func newQuarantineView(rows quarantine.Rows, client *dispatch.Client, routers func() []string, seed uint64) *quarantineView {
	return &quarantineView{
		client:   client,
		routers:  routers,
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

// Learn takes evidence from an agent. When it condemns a request, the other
// routers are told before this returns, because the caller may send the request
// again to any of them as soon as it has its answer.
func (v *quarantineView) Learn(now time.Time, e *rpc.Evidence) {
	r, ok := quarantine.FromMessage(now, e)
	if ok && v.condemns(now, r) {
		v.tell(r.Message(now))
	}
}

// condemns merges a record and reports whether the request is refused because
// of it.
func (v *quarantineView) condemns(now time.Time, r quarantine.Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.table.Verdict(now, r.Fingerprint)
	v.table.Merge(now, []quarantine.Record{r})
	return before != quarantine.Condemned && v.table.Verdict(now, r.Fingerprint) == quarantine.Condemned
}

// tell sends evidence to the other routers and waits for their answers within
// shareTimeout. A router that misses it reads the evidence from the table service.
func (v *quarantineView) tell(e *rpc.Evidence) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	req := &rpc.ShareEvidenceRequest{Evidence: []*rpc.Evidence{e}}
	var all errgroup.Group
	all.SetLimit(maxShareCalls)
	for _, address := range v.routers() {
		all.Go(func() error {
			peer := rpc.NewRouterProtobufClient(v.client.URL(address), v.client.HTTPClient())
			_, err := peer.ShareEvidence(ctx, req)
			return err
		})
	}
	_ = all.Wait()
}

// ShareEvidence takes evidence from another router.
func (v *quarantineView) ShareEvidence(_ context.Context, req *rpc.ShareEvidenceRequest) (*rpc.ShareEvidenceResponse, error) {
	now := time.Now()
	for _, e := range req.GetEvidence() {
		if r, ok := quarantine.FromMessage(now, e); ok {
			v.condemns(now, r)
		}
	}
	return &rpc.ShareEvidenceResponse{}, nil
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
