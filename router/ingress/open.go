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

// lowerShare is the part of the bound, in quarters, up to which requests below
// urgent are admitted, by tier. Urgent requests are counted against the whole
// bound by themselves, so that no number of others makes the router refuse one.
var lowerShare = [catalog.TierCount]int{0, 3, 2}

const quarters = 4

// owner is a client account with the profile that it uses.
type owner struct {
	account, profile string
}

// openRequests counts requests in progress. It refuses new ones when draining
// and at the bounds of the tier and of the account.
type openRequests struct {
	mu sync.Mutex
	n  int
	// urgent and lower count the placed requests of the urgent tier and of the
	// others.
	urgent   int
	lower    int
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
	if !o.hasPlace(bound, p.Tier) {
		return nil, resultcode.New(resultcode.RouterSaturated, "%d requests are open", o.urgent+o.lower).
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
	count := o.counter(p.Tier)
	*count++
	o.byOwner[key]++
	return func() { o.remove(key, count) }, nil
}

func (o *openRequests) hasPlace(bound, tier int) bool {
	if tier == catalog.TierUrgent {
		return o.urgent < bound
	}
	return o.lower < bound*lowerShare[tier]/quarters
}

func (o *openRequests) counter(tier int) *int {
	if tier == catalog.TierUrgent {
		return &o.urgent
	}
	return &o.lower
}

func (o *openRequests) remove(key owner, count *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*count--
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
