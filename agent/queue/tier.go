package queue

import "time"

const (
	// ClassStartPeriod bounds the wait of a class: one that waits in a tier below
	// urgent is served after at most ClassStartPeriod starts of its tier, plus one
	// start for each other class that waits there.
	ClassStartPeriod = 8

	// startCharge is what an account is charged at a start, before the run time is
	// known.
	startCharge = time.Second
	// maxDebt bounds, in run time at weight 1, how far an account's virtual
	// service can exceed the virtual time, so that one very long stream does not
	// lock its account out.
	maxDebt = 30 * time.Second
	// maxIdleAccounts bounds the accounts without waiting work that are kept only
	// for their debt; above the bound all of them are dropped.
	maxIdleAccounts = 1024
)

// account is the state of one client account in one tier.
type account struct {
	name   string
	weight float64
	// virtualService is the service received: seconds of run time per weight.
	virtualService float64
	entries        indexedHeap[*entry]
	// notRequeued counts the entries that are not requeued.
	notRequeued int

	eligibleIndex int
	aheadIndex    int
}

// class is the state of one class with waiting work in one tier.
type class struct {
	name string
	// lastStart is the tier's start count when the class last started an item or
	// began to wait.
	lastStart uint64
	entries   indexedHeap[*entry]
	heapIndex int
}

// tierQueue holds the waiting work of one tier and shares the run time fairly
// between accounts by weight. Accounts that have received no more than their fair
// share (virtualService not above virtualTime) are eligible; the earliest deadline
// among the eligible accounts is next. All operations other than
// displacementVictim and the bulk drop in pruneIdle are logarithmic in the number
// of accounts, classes and entries.
type tierQueue struct {
	accounts map[string]*account
	classes  map[string]*class
	// eligible holds the eligible accounts, ordered by their first entry.
	eligible indexedHeap[*account]
	// aheadOfShare holds the accounts above their fair share, ordered by
	// virtualService.
	aheadOfShare indexedHeap[*account]
	// classesByLastStart has the class that has waited for the most starts first.
	classesByLastStart indexedHeap[*class]
	// expiry holds all entries, ordered by WaitUntil.
	expiry indexedHeap[*entry]
	// virtualTime is the fair share of an account of weight 1, in seconds of run
	// time.
	virtualTime float64
	// totalWeight is the weight of all accounts with waiting work.
	totalWeight float64
	// starts counts the starts of the tier.
	starts uint64
	// notRequeued counts the entries that are not requeued.
	notRequeued int
	// idleAccounts counts the accounts without waiting work.
	idleAccounts int
}

func newTierQueue() *tierQueue {
	t := &tierQueue{accounts: map[string]*account{}, classes: map[string]*class{}}
	t.eligible = indexedHeap[*account]{
		less:  func(a, b *account) bool { return a.entries.first().before(b.entries.first()) },
		index: func(a *account) *int { return &a.eligibleIndex },
	}
	t.aheadOfShare = indexedHeap[*account]{
		less:  func(a, b *account) bool { return a.virtualService < b.virtualService },
		index: func(a *account) *int { return &a.aheadIndex },
	}
	t.classesByLastStart = indexedHeap[*class]{
		less:  func(a, b *class) bool { return a.lastStart < b.lastStart },
		index: func(c *class) *int { return &c.heapIndex },
	}
	t.expiry = indexedHeap[*entry]{
		less:  func(a, b *entry) bool { return a.WaitUntil.Before(b.WaitUntil) },
		index: func(e *entry) *int { return &e.expiryIndex },
	}
	return t
}

func (t *tierQueue) len() int { return t.expiry.Len() }

func (t *tierQueue) add(e *entry) {
	a := t.account(e.Account)
	t.totalWeight += float64(e.Weight)
	if a.entries.Len() == 0 {
		a.weight = 0
	}
	t.totalWeight -= a.weight
	a.weight = float64(e.Weight)
	e.account = a
	a.entries.add(e)
	t.updateHeap(a)

	e.class = t.class(e.Class)
	e.class.entries.add(e)
	t.expiry.add(e)
	if !e.requeued() {
		a.notRequeued++
		t.notRequeued++
	}
}

// account returns the state of the account, for an entry that is about to be
// added. An account without waiting work continues at the virtual time, or at its
// own virtual service if that is higher: idle time earns no credit, and debt stays.
func (t *tierQueue) account(name string) *account {
	a, ok := t.accounts[name]
	if !ok {
		a = newAccount(name, t.virtualTime)
		t.accounts[name] = a
		return a
	}
	if a.entries.Len() == 0 {
		t.idleAccounts--
		a.virtualService = max(a.virtualService, t.virtualTime)
	}
	return a
}

func newAccount(name string, service float64) *account {
	a := &account{name: name, virtualService: service, eligibleIndex: -1, aheadIndex: -1}
	a.entries = indexedHeap[*entry]{
		less:  (*entry).before,
		index: func(e *entry) *int { return &e.accountIndex },
	}
	return a
}

// class returns the state of the class and creates it if none of its work waits.
func (t *tierQueue) class(name string) *class {
	c, ok := t.classes[name]
	if ok {
		return c
	}
	c = &class{name: name, lastStart: t.starts}
	c.entries = indexedHeap[*entry]{less: (*entry).before, index: func(e *entry) *int { return &e.classIndex }}
	t.classes[name] = c
	t.classesByLastStart.add(c)
	return c
}

// updateHeap moves an account with waiting work to the heap it belongs to and
// restores that heap's order.
func (t *tierQueue) updateHeap(a *account) {
	if a.virtualService > t.virtualTime {
		if a.eligibleIndex >= 0 {
			t.eligible.remove(a)
		}
		if a.aheadIndex >= 0 {
			t.aheadOfShare.fix(a)
			return
		}
		t.aheadOfShare.add(a)
		return
	}
	if a.aheadIndex >= 0 {
		t.aheadOfShare.remove(a)
	}
	if a.eligibleIndex >= 0 {
		t.eligible.fix(a)
		return
	}
	t.eligible.add(a)
}

// next returns the entry to start next. The tier must not be empty. With
// enforceClassPeriod, a class that has waited for ClassStartPeriod starts is first.
func (t *tierQueue) next(enforceClassPeriod bool) *entry {
	if c := t.classesByLastStart.first(); enforceClassPeriod && t.starts-c.lastStart >= ClassStartPeriod {
		return c.entries.first()
	}
	if t.eligible.Len() == 0 {
		t.virtualTime = t.aheadOfShare.first().virtualService
	}
	for t.aheadOfShare.Len() > 0 && t.aheadOfShare.first().virtualService <= t.virtualTime {
		t.updateHeap(t.aheadOfShare.first())
	}
	return t.eligible.first().entries.first()
}

// start removes e because it starts, and charges its account.
func (t *tierQueue) start(e *entry) {
	t.starts++
	e.class.lastStart = t.starts
	t.classesByLastStart.fix(e.class)
	t.charge(e.account, startCharge)
	t.remove(e)
}

// charge adds run time to the account's virtual service and advances the virtual
// time by the same run time, divided by the weight of all accounts that wait. A
// negative run time is a refund, which leaves the virtual time as it is.
func (t *tierQueue) charge(a *account, use time.Duration) {
	seconds := use.Seconds()
	if t.totalWeight > 0 && seconds > 0 {
		t.virtualTime += seconds / t.totalWeight
	}
	limit := t.virtualTime + maxDebt.Seconds()/max(a.weight, 1)
	a.virtualService = min(a.virtualService+seconds/max(a.weight, 1), limit)
	if a.entries.Len() > 0 {
		t.updateHeap(a)
	}
}

// done corrects the charge of a start once the run time is known. It keeps an
// idle account only while its virtual service is above the virtual time.
func (t *tierQueue) done(name string, weight int, use time.Duration) {
	a, ok := t.accounts[name]
	if !ok {
		a = newAccount(name, t.virtualTime)
		a.weight = float64(weight)
		t.accounts[name] = a
		t.idleAccounts++
	}
	t.charge(a, use-startCharge)
	if a.entries.Len() == 0 {
		t.pruneIdle(a)
	}
}

// remove takes e out of all heaps and counts.
func (t *tierQueue) remove(e *entry) {
	t.expiry.remove(e)
	e.class.entries.remove(e)
	if e.class.entries.Len() == 0 {
		t.classesByLastStart.remove(e.class)
		delete(t.classes, e.class.name)
	}
	a := e.account
	if !e.requeued() {
		a.notRequeued--
		t.notRequeued--
	}
	if a.entries.Len() > 1 {
		a.entries.remove(e)
		t.updateHeap(a)
		return
	}
	// The heap's comparison reads the first entry, so the account leaves its
	// heap before its last entry is removed.
	if a.eligibleIndex >= 0 {
		t.eligible.remove(a)
	} else {
		t.aheadOfShare.remove(a)
	}
	a.entries.remove(e)
	t.totalWeight -= a.weight
	t.idleAccounts++
	t.pruneIdle(a)
}

// pruneIdle drops an account without waiting work unless it has a debt. Above
// maxIdleAccounts it drops all accounts without waiting work.
func (t *tierQueue) pruneIdle(a *account) {
	if a.virtualService <= t.virtualTime {
		t.dropAccount(a)
	}
	if t.idleAccounts <= maxIdleAccounts {
		return
	}
	for _, other := range t.accounts {
		if other.entries.Len() == 0 {
			t.dropAccount(other)
		}
	}
}

func (t *tierQueue) dropAccount(a *account) {
	delete(t.accounts, a.name)
	t.idleAccounts--
}

// displacementVictim returns the entry to displace: of the account with the most
// waiting entries for its weight, the entry that would start last. Requeued
// entries are never displaced, because they have already run in part. It scans all
// accounts.
func (t *tierQueue) displacementVictim() *entry {
	var largest *account
	for _, a := range t.accounts {
		if a.notRequeued > 0 && (largest == nil || largerBacklog(a, largest)) {
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

// largerBacklog reports whether a has more waiting entries for its weight than b.
// It breaks ties by name, so that the iteration order of the map has no effect.
func largerBacklog(a, b *account) bool {
	left, right := float64(a.notRequeued)*b.weight, float64(b.notRequeued)*a.weight
	if left != right {
		return left > right
	}
	return a.name < b.name
}
