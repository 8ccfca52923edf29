package router

import (
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/router/budget"
)

// tierBudgets keeps a retry budget for each tier and the hedge delays. It
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
	b.tiers[tier].First(account)
}

// Retry reports whether an attempt may follow a failure.
func (b *tierBudgets) Retry(tier int, account string) bool {
	return b.spend(tier, account, budget.Retry)
}

// Redirect reports whether an attempt may follow a refusal.
func (b *tierBudgets) Redirect(tier int, account string) bool {
	return b.spend(tier, account, budget.Redirect)
}

func (b *tierBudgets) spend(tier int, account string, use budget.Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tiers[tier].Spend(account, use)
}

// HedgeDelay returns the time after which a request of the group is late.
func (b *tierBudgets) HedgeDelay(group string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedger.Delay(group)
}

// Hedge reports whether a second attempt may run beside a late one.
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

// Left returns the share of the budget that is left in the tier with the least.
func (b *tierBudgets) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := 1.0
	for _, tier := range b.tiers {
		left = min(left, tier.Left())
	}
	return left
}
