package router

import (
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/router/budget"
)

// tierBudgets holds a retry budget for each tier, and the hedge delays. It
// implements dispatch.Budget and is safe for concurrent use.
type tierBudgets struct {
	mu     sync.Mutex
	tiers  [catalog.TierCount]*budget.Budget
	hedger *budget.Hedger
}

func newTierBudgets() *tierBudgets {
	b := &tierBudgets{hedger: budget.NewHedger(budget.HedgeOptions{})}
	for tier := range b.tiers {
		b.tiers[tier] = budget.New(budget.Options{})
	}
	return b
}

// First records the first attempt of a request.
func (b *tierBudgets) First(tier int, account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tiers[tier].RecordFirst(account)
}

// Retry reports whether the budget allows an attempt after a failure, and
// charges it.
func (b *tierBudgets) Retry(tier int, account string) bool {
	return b.spend(tier, account, budget.Retry)
}

// Redirect reports whether the budget allows an attempt after a refusal, and
// charges it.
func (b *tierBudgets) Redirect(tier int, account string) bool {
	return b.spend(tier, account, budget.Redirect)
}

func (b *tierBudgets) spend(tier int, account string, use budget.Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tiers[tier].Spend(account, use)
}

// HedgeDelay returns the time without a first token after which a request of the
// group counts as late, and false while it is not known.
func (b *tierBudgets) HedgeDelay(group string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedger.Delay(group)
}

// Hedge reports whether a second attempt may run in parallel to a late one, and
// charges it to the budget.
func (b *tierBudgets) Hedge(tier int, account, group string, waited time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedger.Allow(b.tiers[tier], account, group, true, waited)
}

// FirstToken records the time from the first attempt to the first token.
func (b *tierBudgets) FirstToken(group string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedger.Observe(group, d)
}

// LeastLeft returns the smallest remaining share of a tier's budget, 0 to 1.
func (b *tierBudgets) LeastLeft() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := 1.0
	for _, tier := range b.tiers {
		left = min(left, tier.Remaining())
	}
	return left
}
