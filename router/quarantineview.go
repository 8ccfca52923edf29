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
	// shareTimeout limits how long the answer to a condemned request is delayed
	// while the evidence is sent to the other routers.
	shareTimeout = 200 * time.Millisecond

	// maxShareCalls limits the routers to which evidence is sent at the same time.
	maxShareCalls = 64
)

// quarantineView holds the router's evidence against requests that crash
// endpoints. It gets evidence from agents, from the other routers and from the
// table service, and passes evidence that condemns a request on to the other
// routers. It implements dispatch.Quarantine and is safe for concurrent use.
type quarantineView struct {
	exchange *quarantine.Exchange
	rng      *rand.Rand
	client   *dispatch.Client
	// routers lists the peer addresses of the live routers in the VM list; evidence that
	// this router sends to itself has no effect.
	routers func() []string

	mu      sync.Mutex
	tracker *quarantine.Tracker
}

func newQuarantineView(table quarantine.Table, client *dispatch.Client, routers func() []string, seed uint64) *quarantineView {
	return &quarantineView{
		client:   client,
		routers:  routers,
		exchange: quarantine.NewExchange(table),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		tracker:  quarantine.NewTracker(),
	}
}

// String returns the name of the service in the supervisor's log.
func (v *quarantineView) String() string { return "quarantine reader" }

// Serve reads the shared evidence periodically until ctx ends. While the store is
// down, the evidence that agents sent with refusals stays in use.
func (v *quarantineView) Serve(ctx context.Context) error {
	for {
		records, err := v.exchange.Read(ctx)
		if err == nil {
			v.mu.Lock()
			v.tracker.Merge(time.Now(), records)
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

// Learn adds evidence from an agent. When the evidence condemns a request, Learn
// sends it to the other routers before it returns, because the caller may send the
// request again to any of them as soon as it has its answer.
func (v *quarantineView) Learn(now time.Time, e *rpc.Evidence) {
	r, ok := quarantine.FromMessage(now, e)
	if ok && v.merge(now, r) {
		v.shareWithRouters(r.Message(now))
	}
}

// merge adds a record and reports whether the request is condemned because of
// it and was not before.
func (v *quarantineView) merge(now time.Time, r quarantine.Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.tracker.Status(now, r.Fingerprint)
	v.tracker.Merge(now, []quarantine.Record{r})
	return before != quarantine.Condemned && v.tracker.Status(now, r.Fingerprint) == quarantine.Condemned
}

// shareWithRouters sends evidence to the other routers and waits for their answers
// for at most shareTimeout. A router that does not receive it reads the evidence
// from the table service.
func (v *quarantineView) shareWithRouters(e *rpc.Evidence) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	req := &rpc.ShareEvidenceRequest{Evidence: []*rpc.Evidence{e}}
	var calls errgroup.Group
	calls.SetLimit(maxShareCalls)
	for _, address := range v.routers() {
		calls.Go(func() error {
			peer := rpc.NewRouterProtobufClient(v.client.URL(address), v.client.HTTPClient())
			_, err := peer.ShareEvidence(ctx, req)
			return err
		})
	}
	_ = calls.Wait()
}

// ShareEvidence adds evidence from another router. It implements rpc.Router.
func (v *quarantineView) ShareEvidence(_ context.Context, req *rpc.ShareEvidenceRequest) (*rpc.ShareEvidenceResponse, error) {
	now := time.Now()
	for _, e := range req.GetEvidence() {
		if r, ok := quarantine.FromMessage(now, e); ok {
			v.merge(now, r)
		}
	}
	return &rpc.ShareEvidenceResponse{}, nil
}

// Evidence returns the evidence against a request, nil for none.
func (v *quarantineView) Evidence(now time.Time, digest []byte) *rpc.Evidence {
	f, ok := quarantine.FingerprintOf(digest)
	if !ok {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.tracker.Lookup(now, f)
	if !ok {
		return nil
	}
	return r.Message(now)
}

// Condemned reports whether the request with this digest is condemned, so that it
// must be refused.
func (v *quarantineView) Condemned(now time.Time, digest []byte) bool {
	f, ok := quarantine.FingerprintOf(digest)
	if !ok {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Status(now, f) == quarantine.Condemned
}
