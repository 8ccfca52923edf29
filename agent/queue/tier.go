package queue

import "time"

const (
	// ClassStarts bounds the wait of a class: one that waits in a tier below
	// urgent is served after at most ClassStarts starts of its tier, plus one
	// start for each other class that waits there.
	ClassStarts = 8

	// startCharge is what a start costs an account before the use is known.
	startCharge = time.Second
	// maxDebt bounds how far an account's use counts against it, so that one
	// very long stream does not lock its account out.
	maxDebt = 30 * time.Second
	// maxIdleAccounts bounds the accounts kept only for their debt; at the bound
	// all of these debts are dropped.
	maxIdleAccounts = 1024
)

// account is the state of one client account in one tier.
type account struct {
	name   string
	weight float64
	// service is the virtual service received: seconds of use per weight.
	service float64
	entries indexedHeap[*entry]
	// fresh counts the entries that are not requeued.
	fresh int

	inEligible int
	inAhead    int
}

// class is the state of one class with waiting work in one tier.
type class struct {
	name string
	// lastStart is the tier's start count when the class was last served.
	lastStart uint64
	entries   indexedHeap[*entry]
	position  int
}

// tierQueue holds the waiting work of one tier. Accounts that have received no
// more than their fair share (service not above clock) are eligible; the
// earliest deadline among the eligible accounts is next. All operations are
// logarithmic in the number of accounts, classes and entries.
type tierQueue struct {
	accounts map[string]*account
	classes  map[string]*class
	// eligible holds accounts by the order of their first entry.
	eligible indexedHeap[*account]
	// ahead holds accounts above their fair share, by service received.
	ahead   indexedHeap[*account]
	rota    indexedHeap[*class]
	expiry  indexedHeap[*entry]
	clock   float64
	weights float64
	starts  uint64
	fresh   int
	idle    int
}

func newTierQueue() *tierQueue {
	t := &tierQueue{accounts: map[string]*account{}, classes: map[string]*class{}}
	t.eligible = indexedHeap[*account]{
		less:     func(a, b *account) bool { return a.entries.first().before(b.entries.first()) },
		position: func(a *account) *int { return &a.inEligible },
	}
	t.ahead = indexedHeap[*account]{
		less:     func(a, b *account) bool { return a.service < b.service },
		position: func(a *account) *int { return &a.inAhead },
	}
	t.rota = indexedHeap[*class]{
		less:     func(a, b *class) bool { return a.lastStart < b.lastStart },
		position: func(c *class) *int { return &c.position },
	}
	t.expiry = indexedHeap[*entry]{
		less:     func(a, b *entry) bool { return a.WaitUntil.Before(b.WaitUntil) },
		position: func(e *entry) *int { return &e.inExpiry },
	}
	return t
}

func (t *tierQueue) len() int { return t.expiry.Len() }

func (t *tierQueue) add(e *entry) {
	a := t.account(e.Account)
	t.weights += float64(e.Weight)
	if a.entries.Len() == 0 {
		a.weight = 0
	}
	t.weights -= a.weight
	a.weight = float64(e.Weight)
	e.account = a
	a.entries.add(e)
	t.place(a)

	e.class = t.class(e.Class)
	e.class.entries.add(e)
	t.expiry.add(e)
	if !e.requeued() {
		a.fresh++
		t.fresh++
	}
}

// account returns the state for name. An account without waiting work starts
// again at the clock, or at its debt when that is higher.
func (t *tierQueue) account(name string) *account {
	a, ok := t.accounts[name]
	if !ok {
		a = newAccount(name, t.clock)
		t.accounts[name] = a
		return a
	}
	if a.entries.Len() == 0 {
		t.idle--
		a.service = max(a.service, t.clock)
	}
	return a
}

func newAccount(name string, service float64) *account {
	a := &account{name: name, service: service, inEligible: -1, inAhead: -1}
	a.entries = indexedHeap[*entry]{
		less:     (*entry).before,
		position: func(e *entry) *int { return &e.inAccount },
	}
	return a
}

func (t *tierQueue) class(name string) *class {
	c, ok := t.classes[name]
	if ok {
		return c
	}
	c = &class{name: name, lastStart: t.starts}
	c.entries = indexedHeap[*entry]{less: (*entry).before, position: func(e *entry) *int { return &e.inClass }}
	t.classes[name] = c
	t.rota.add(c)
	return c
}

// place puts an account with waiting work into the heap it belongs to.
func (t *tierQueue) place(a *account) {
	if a.service > t.clock {
		if a.inEligible >= 0 {
			t.eligible.remove(a)
		}
		if a.inAhead >= 0 {
			t.ahead.fix(a)
			return
		}
		t.ahead.add(a)
		return
	}
	if a.inAhead >= 0 {
		t.ahead.remove(a)
	}
	if a.inEligible >= 0 {
		t.eligible.fix(a)
		return
	}
	t.eligible.add(a)
}

// next returns the entry to start next. The tier must not be empty.
func (t *tierQueue) next(classFloor bool) *entry {
	if c := t.rota.first(); classFloor && t.starts-c.lastStart >= ClassStarts {
		return c.entries.first()
	}
	if t.eligible.Len() == 0 {
		t.clock = t.ahead.first().service
	}
	for t.ahead.Len() > 0 && t.ahead.first().service <= t.clock {
		t.place(t.ahead.first())
	}
	return t.eligible.first().entries.first()
}

// start takes e out as started and charges its account.
func (t *tierQueue) start(e *entry) {
	t.starts++
	e.class.lastStart = t.starts
	t.rota.fix(e.class)
	t.charge(e.account, startCharge)
	t.remove(e)
}

// charge adds use to the account's service and moves the clock by the same use
// spread over all accounts that wait. A negative use is a refund.
func (t *tierQueue) charge(a *account, use time.Duration) {
	seconds := use.Seconds()
	if t.weights > 0 && seconds > 0 {
		t.clock += seconds / t.weights
	}
	limit := t.clock + maxDebt.Seconds()/max(a.weight, 1)
	a.service = min(a.service+seconds/max(a.weight, 1), limit)
	if a.entries.Len() > 0 {
		t.place(a)
	}
}

// done corrects the charge of a start once the use is known. It keeps an idle
// account only while its service is above the clock.
func (t *tierQueue) done(name string, weight int, use time.Duration) {
	a, ok := t.accounts[name]
	if !ok {
		a = newAccount(name, t.clock)
		a.weight = float64(weight)
		t.accounts[name] = a
		t.idle++
	}
	t.charge(a, use-startCharge)
	if a.entries.Len() == 0 {
		t.settle(a)
	}
}

// remove takes e out of all structures.
func (t *tierQueue) remove(e *entry) {
	t.expiry.remove(e)
	e.class.entries.remove(e)
	if e.class.entries.Len() == 0 {
		t.rota.remove(e.class)
		delete(t.classes, e.class.name)
	}
	a := e.account
	if !e.requeued() {
		a.fresh--
		t.fresh--
	}
	if a.entries.Len() > 1 {
		a.entries.remove(e)
		t.place(a)
		return
	}
	// The heap's comparison reads the first entry, so the account leaves its
	// heap before its last entry is removed.
	if a.inEligible >= 0 {
		t.eligible.remove(a)
	} else {
		t.ahead.remove(a)
	}
	a.entries.remove(e)
	t.weights -= a.weight
	t.idle++
	t.settle(a)
}

// settle forgets an account without waiting work unless it has a debt.
func (t *tierQueue) settle(a *account) {
	if a.service <= t.clock {
		t.forget(a)
	}
	if t.idle <= maxIdleAccounts {
		return
	}
	for _, other := range t.accounts {
		if other.entries.Len() == 0 {
			t.forget(other)
		}
	}
}

func (t *tierQueue) forget(a *account) {
	delete(t.accounts, a.name)
	t.idle--
}

// surplus returns the entry to displace: of the account with the most waiting
// work for its weight, the entry that would start last. Requeued entries are
// spared, because they have used the endpoint. It reads all accounts.
func (t *tierQueue) surplus() *entry {
	var largest *account
	for _, a := range t.accounts {
		if a.fresh > 0 && (largest == nil || moreSurplus(a, largest)) {
			largest = a
		}
	}
	if largest == nil {
		return nil
	}
	var last *entry
	for _, e := range largest.entries.elements {
		if !e.requeued() && (last == nil || last.before(e)) {
			last = e
		}
	}
	return last
}

// moreSurplus breaks ties by name, so that the order of a map has no effect.
func moreSurplus(a, b *account) bool {
	left, right := float64(a.fresh)*b.weight, float64(b.fresh)*a.weight
	if left != right {
		return left > right
	}
	return a.name < b.name
}
