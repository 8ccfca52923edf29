package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	saturatedRetryAfter = time.Second
	leavingRetryAfter   = time.Second
)

// openRequests counts requests in progress and refuses new ones when draining
// or at the bound.
type openRequests struct {
	mu       sync.Mutex
	n        int
	draining bool
	idle     chan struct{}
}

func (o *openRequests) enter(bound int) (func(), *resultcode.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return nil, resultcode.New(resultcode.Leaving, "this router is leaving").WithRetryAfter(leavingRetryAfter)
	}
	if o.n >= bound {
		return nil, resultcode.New(resultcode.RouterSaturated, "%d requests are open", o.n).WithRetryAfter(saturatedRetryAfter)
	}
	o.n++
	return o.leave, nil
}

func (o *openRequests) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.n--
	if o.n == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.n
}

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
