package gateway

import "github.com/pistachiowind/pistachiowind/router/budget"

const (
	// minAssumedGateways is the least number of gateways among which the retry
	// allowance is split, as their number is not known at first.
	minAssumedGateways = 8
	// retryAllowanceFraction is the fraction of the retry allowance that is used; the
	// rest covers gateways that start while others still run.
	retryAllowanceFraction = 0.7
	// retryRatioFraction is the fraction of the configured retry ratio that is used.
	retryRatioFraction = 0.9
)

// FirstAttempt implements relay.Placer.
func (d *dispatcher) FirstAttempt(service, account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).RecordFirst(account)
}

// AllowRetry implements relay.Placer.
func (d *dispatcher) AllowRetry(service, account string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Spend(account, budget.Retry)
}

// budget returns the retry budget of a service and creates it on first use. The mutex
// is held.
func (d *dispatcher) budget(service string) *budget.Budget {
	b := d.budgets[service]
	if b == nil {
		account, total := d.retryBursts()
		b = budget.New(budget.Options{
			Fraction:     d.settings.RetryRatio * retryRatioFraction,
			AccountBurst: account,
			TotalBurst:   total,
			RedirectCost: 1,
		})
		d.budgets[service] = b
	}
	return b
}

// retryBursts returns this gateway's share of the retry allowance, for one client
// account and in total. An account gets half, so that one whose requests fail does not
// use up the retries of the others.
func (d *dispatcher) retryBursts() (account, total int) {
	part := d.settings.RetryAllowance * retryAllowanceFraction / float64(max(d.maxGatewaysSeen, minAssumedGateways))
	total = max(int(part), 1)
	return max(total/2, 1), total
}

// setGateways sets how many gateways share the retry allowance. The number only
// rises: gateways whose statements no longer arrive may be partitioned from this one and
// go on using their share.
func (d *dispatcher) setGateways(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n <= max(d.maxGatewaysSeen, minAssumedGateways) {
		return
	}
	d.maxGatewaysSeen = n
	for _, b := range d.budgets {
		b.Resize(d.retryBursts())
	}
}
