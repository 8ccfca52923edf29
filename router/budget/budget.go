// Package budget limits the attempts of a request beyond the first one with token
// buckets. Each first attempt earns a fraction of a token for its client account
// and for the router as a whole; retries, redirects and hedges spend tokens of
// both. Repeated work therefore stays a fixed fraction of the demand even when
// every attempt fails.
package budget

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options adjust a Budget. Zero values take the defaults.
type Options struct {
	// Fraction is the part of a token that a first attempt earns; 0.1 by default.
	Fraction float64
	// AccountBurst is the capacity of a client account's bucket in tokens, which
	// starts full; 10 by default.
	AccountBurst int
	// TotalBurst is the same for the router as a whole; 100 by default.
	TotalBurst int
	// RedirectCost is the cost of a redirect in tokens; 0.25 by default.
	RedirectCost float64
	// HedgeReserve is the share of a bucket that hedges leave for retries and
	// redirects; 0.5 by default.
	HedgeReserve float64
	// MaxAccounts bounds the client accounts kept; 1,024 by default. The least
	// recently used one is forgotten and starts again with AccountBurst; the
	// bucket of the router still limits it.
	MaxAccounts int
}

func (o Options) withDefaults() Options {
	if o.Fraction <= 0 {
		o.Fraction = 0.1
	}
	if o.AccountBurst <= 0 {
		o.AccountBurst = 10
	}
	if o.TotalBurst <= 0 {
		o.TotalBurst = 100
	}
	if o.RedirectCost <= 0 {
		o.RedirectCost = 0.25
	}
	if o.HedgeReserve <= 0 {
		o.HedgeReserve = 0.5
	}
	if o.MaxAccounts <= 0 {
		o.MaxAccounts = 1024
	}
	return o
}

// Use is the purpose of an attempt beyond the first.
type Use int

const (
	// Retry follows a failure: the work of the endpoint may have been wasted.
	Retry Use = iota
	// Redirect follows a refusal with not_run. It costs less than a retry,
	// because no endpoint has run the request and because refusals are expected
	// when load values are old.
	Redirect
	// Hedge runs in parallel with an attempt whose first token is late.
	Hedge
)

// unitsPerToken is the number of integer units in a token. Counting in units avoids
// rounding errors.
const unitsPerToken = 1000

func units(tokens float64) int64 {
	return int64(math.Round(tokens * unitsPerToken))
}

// bucket is a token bucket: a number of units, at most burst.
type bucket struct {
	units, burst int64
}

func (b *bucket) earn(n int64) {
	b.units = min(b.units+n, b.burst)
}

// allows reports whether at least the reserve is left after paying the cost.
func (b *bucket) allows(cost, reserve int64) bool {
	return b.units >= cost+reserve
}

// Budget counts tokens. It is not safe for concurrent use.
type Budget struct {
	options  Options
	total    bucket
	accounts *simplelru.LRU[string, *bucket]
}

// New returns a Budget with full buckets.
func New(o Options) *Budget {
	b := &Budget{options: o.withDefaults()}
	burst := int64(b.options.TotalBurst) * unitsPerToken
	b.total = bucket{units: burst, burst: burst}
	// The size is positive, which is all that NewLRU checks.
	b.accounts, _ = simplelru.NewLRU[string, *bucket](b.options.MaxAccounts, nil)
	return b
}

// RecordFirst records the first attempt of a request, which earns tokens.
func (b *Budget) RecordFirst(account string) {
	earned := units(b.options.Fraction)
	b.account(account).earn(earned)
	b.total.earn(earned)
}

// Spend reports whether the budgets of the account and of the router allow a
// further attempt, and takes its cost from both if they do.
func (b *Budget) Spend(account string, use Use) bool {
	a := b.account(account)
	cost := int64(unitsPerToken)
	var accountReserve, totalReserve int64
	switch use {
	case Redirect:
		cost = units(b.options.RedirectCost)
	case Hedge:
		accountReserve = int64(float64(a.burst) * b.options.HedgeReserve)
		totalReserve = int64(float64(b.total.burst) * b.options.HedgeReserve)
	}
	if !a.allows(cost, accountReserve) || !b.total.allows(cost, totalReserve) {
		return false
	}
	a.units -= cost
	b.total.units -= cost
	return true
}

// Resize changes the bursts. Tokens beyond a new burst are lost; a bucket below its
// new burst keeps its tokens and gains none.
func (b *Budget) Resize(accountBurst, totalBurst int) {
	b.options.AccountBurst = max(accountBurst, 1)
	b.options.TotalBurst = max(totalBurst, 1)
	b.total.resize(b.options.TotalBurst)
	for _, name := range b.accounts.Keys() {
		if a, ok := b.accounts.Peek(name); ok {
			a.resize(b.options.AccountBurst)
		}
	}
}

func (b *bucket) resize(burst int) {
	b.burst = int64(burst) * unitsPerToken
	b.units = min(b.units, b.burst)
}

// Remaining returns the share of the router's total burst that is left, from 0 to 1.
func (b *Budget) Remaining() float64 {
	return float64(b.total.units) / float64(b.total.burst)
}

func (b *Budget) account(name string) *bucket {
	if a, ok := b.accounts.Get(name); ok {
		return a
	}
	burst := int64(b.options.AccountBurst) * unitsPerToken
	a := &bucket{units: burst, burst: burst}
	b.accounts.Add(name, a)
	return a
}
