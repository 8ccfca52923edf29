package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	saturatedRetryAfter = time.Second
	leavingRetryAfter   = time.Second
)

// tierShare is the part of the open requests, in quarters, up to which a tier is
// admitted. The last part is left to more urgent tiers, so that a burst of lower
// tiers cannot make the router refuse an urgent request.
var tierShare = [catalog.TierCount]int{4, 3, 2}

const quarters = 4

// owner is a client account with the profile that it uses.
type owner struct {
	account, profile string
}

// openRequests counts requests in progress. It refuses new ones when draining
// and at the bounds of the tier and of the account.
type openRequests struct {
	mu       sync.Mutex
	n        int
	placed   int
	byOwner  map[owner]int
	draining bool
	idle     chan struct{}
}

// enter counts a request before anything is known about it.
func (o *openRequests) enter() *resultcode.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return resultcode.New(resultcode.Leaving, "this router is leaving").WithRetryAfter(leavingRetryAfter)
	}
	o.n++
	return nil
}

// leave ends what enter counted.
func (o *openRequests) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.n--
	if o.n == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
}

// place counts a request whose profile is known. The returned function ends it.
func (o *openRequests) place(bound int, account string, p *catalog.Profile) (func(), *resultcode.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.placed >= bound*tierShare[p.Tier]/quarters {
		return nil, resultcode.New(resultcode.RouterSaturated, "%d requests are open", o.placed).
			WithRetryAfter(saturatedRetryAfter)
	}
	key := owner{account: account, profile: p.Name}
	if limit := p.Limits.MaxOpenPerAccount; limit > 0 && o.byOwner[key] >= limit {
		return nil, resultcode.New(resultcode.AccountLimit, "client account %q has %d open requests with profile %q",
			account, o.byOwner[key], p.Name).WithRetryAfter(saturatedRetryAfter)
	}
	if o.byOwner == nil {
		o.byOwner = make(map[owner]int)
	}
	o.placed++
	o.byOwner[key]++
	return func() { o.remove(key) }, nil
}

func (o *openRequests) remove(key owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.placed--
	o.byOwner[key]--
	if o.byOwner[key] == 0 {
		delete(o.byOwner, key)
	}
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.n
}

// drain refuses new requests and waits for the open ones until ctx ends.
func (o *openRequests) drain(ctx context.Context) int {
	o.mu.Lock()
	o.draining = true
	if o.n == 0 {
		o.mu.Unlock()
		return 0
	}
	idle := make(chan struct{})
	o.idle = idle
	o.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	return o.count()
}
