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

// lowerTierQuarters is the part of the maximum number of open requests, in
// quarters and by tier, up to which a request below urgent is admitted; all
// requests below urgent count together. Urgent requests are counted separately
// against the whole maximum, so that no number of other requests makes the
// router refuse an urgent one.
var lowerTierQuarters = [catalog.TierCount]int{0, 3, 2}

const quarters = 4

// accountProfile is a client account with the profile that it uses.
type accountProfile struct {
	account, profile string
}

// openRequests counts the requests in progress. It refuses new ones while the
// router drains and at the limits of the tier and of the client account.
type openRequests struct {
	mu sync.Mutex
	// total counts all requests from begin to end, whose profile may be unknown.
	total int
	// urgent and lower count the requests from reserve to release, of the urgent
	// tier and of the others.
	urgent           int
	lower            int
	byAccountProfile map[accountProfile]int
	draining         bool
	// idle is closed when the last request of a drain has ended; nil otherwise.
	idle chan struct{}
}

// begin counts a request whose client account and profile are not known yet. It
// refuses the request while the router drains.
func (o *openRequests) begin() *resultcode.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return resultcode.New(resultcode.Leaving, "this router is leaving").WithRetryAfter(leavingRetryAfter)
	}
	o.total++
	return nil
}

// end removes a request that begin counted.
func (o *openRequests) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	if o.total == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
}

// reserve counts a request against the limits of its tier and of its client
// account with the profile, and refuses it at either. The returned function
// removes it again.
func (o *openRequests) reserve(maxOpen int, account string, p *catalog.Profile) (func(), *resultcode.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.hasCapacity(maxOpen, p.Tier) {
		return nil, resultcode.New(resultcode.RouterSaturated, "%d requests are open", o.urgent+o.lower).
			WithRetryAfter(saturatedRetryAfter)
	}
	key := accountProfile{account: account, profile: p.Name}
	if limit := p.Limits.MaxOpenPerAccount; limit > 0 && o.byAccountProfile[key] >= limit {
		return nil, resultcode.New(resultcode.AccountLimit, "client account %q has %d open requests with profile %q",
			account, o.byAccountProfile[key], p.Name).WithRetryAfter(saturatedRetryAfter)
	}
	if o.byAccountProfile == nil {
		o.byAccountProfile = make(map[accountProfile]int)
	}
	count := o.tierCounter(p.Tier)
	*count++
	o.byAccountProfile[key]++
	return func() { o.release(key, count) }, nil
}

func (o *openRequests) hasCapacity(maxOpen, tier int) bool {
	if tier == catalog.TierUrgent {
		return o.urgent < maxOpen
	}
	return o.lower < maxOpen*lowerTierQuarters[tier]/quarters
}

func (o *openRequests) tierCounter(tier int) *int {
	if tier == catalog.TierUrgent {
		return &o.urgent
	}
	return &o.lower
}

func (o *openRequests) release(key accountProfile, count *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*count--
	o.byAccountProfile[key]--
	if o.byAccountProfile[key] == 0 {
		delete(o.byAccountProfile, key)
	}
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

// drain refuses new requests and waits for the open ones until ctx ends. It
// returns how many are still open.
func (o *openRequests) drain(ctx context.Context) int {
	o.mu.Lock()
	o.draining = true
	if o.total == 0 {
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
