package duty

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	testTTL    = 3 * time.Second
	testWindow = 5 * time.Second
	testDelay  = 10 * time.Second
)

// faults are what the store and the platform do to the calls of a gateway at a time.
type faults struct {
	storeDown, storeSlow, storeLoses, storeLate, platformDown, platformLoses, platformSlow bool
}

// site is a simulated store, platform and truth. Counts are known to all gateways at once.
type site struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	version int
	era     uint64
	copies  []siteCopy
	faults  faults
	ledgers atomic.Uint64
	writes  int
	reads   int

	// start is when the site started, and began when all its gateways last started at once.
	start, began time.Time
	accepted     map[int64]map[string]uint64
	acceptedAt   map[int64]time.Time
	lastFence    uint64
	fences       map[uint64]string
	acts         []act
	violations   []string
}

type siteCopy struct {
	rows    map[string]storage.Row
	version int
}

type act struct {
	machine string
	at      time.Time
}

func newSite() *site {
	return &site{
		rows: map[string]storage.Row{}, start: time.Now(), began: time.Now(), copies: []siteCopy{{rows: map[string]storage.Row{}}}, accepted: map[int64]map[string]uint64{},
		acceptedAt: map[int64]time.Time{}, fences: map[uint64]string{},
	}
}

func (s *site) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", time.Since(s.start))+fmt.Sprintf(format, args...))
}

// restore brings back a copy of the store that is some copies old, with its versions.
func (s *site) restore(ago int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[max(len(s.copies)-1-ago, 0)]
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.era++
}

func (s *site) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, siteCopy{maps.Clone(s.rows), s.version})
}

func (s *site) commit(rows []storage.Row) ([]storage.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if s.rows[r.Key].Revision != r.Revision {
			return nil, storage.ErrConflict
		}
	}
	s.version++
	s.writes++
	out := make([]storage.Row, len(rows))
	for i, r := range rows {
		out[i] = storage.Row{Key: r.Key, Value: r.Value, Revision: storage.Revision(fmt.Sprint(s.version)), Era: s.era}
		s.rows[r.Key] = out[i]
	}
	return out, nil
}

func (s *site) now() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// report checks a call that arrives at the platform against the rules for holders and reports.
func (s *site) report(machine string, fence uint64, window int64, counts map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if fence < s.lastFence {
		s.violate("token %x after %x", fence, s.lastFence)
	}
	if holder, ok := s.fences[fence]; ok && holder != machine {
		s.violate("token %x of %s and %s", fence, holder, machine)
	}
	s.lastFence, s.fences[fence] = max(fence, s.lastFence), machine
	other := false
	for i := len(s.acts) - 1; i >= 0 && now.Sub(s.acts[i].at) < testTTL; i-- {
		if s.acts[i].machine != machine {
			other = true
		} else if other {
			s.violate("%s acts again after another holder within %v", machine, now.Sub(s.acts[i].at))
			break
		}
	}
	s.acts = append(s.acts, act{machine, now})
	if old, ok := s.accepted[window]; ok {
		if !maps.Equal(old, counts) {
			s.violate("window %d reported as %v and as %v", window, old, counts)
		}
		return
	}
	s.accepted[window], s.acceptedAt[window] = maps.Clone(counts), now
}

// machine is one gateway of the site; several incarnations of it follow each other.
type machine struct {
	site *site
	name string
	seed uint64

	mu          sync.Mutex
	incarnation int
	frozenUntil time.Time
	stop        context.CancelFunc
	ended       chan struct{}
	holder      *Holder
	// crashAt, unless 0, is the number of the call at which the process is killed, counted
	// before and after the effect of each; calls counts them, and crashed is closed then.
	crashAt, calls atomic.Int64
	crashed        chan struct{}
}

// thaw blocks a call while the machine is frozen.
func (m *machine) thaw(ctx context.Context) error {
	if at := m.crashAt.Load(); at > 0 && m.calls.Add(1) == at {
		m.stop()
		close(m.crashed)
	}
	for {
		m.mu.Lock()
		wait := time.Until(m.frozenUntil)
		m.mu.Unlock()
		if wait <= 0 {
			// A killed process makes no further calls.
			if errors.Is(ctx.Err(), context.Canceled) {
				return storage.ErrUnavailable
			}
			return nil
		}
		time.Sleep(wait)
	}
}

func (m *machine) freeze(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozenUntil = time.Now().Add(d)
}

// wait simulates the time of a call; it returns an error if ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (m *machine) read(ctx context.Context) error {
	if m.thaw(ctx) != nil {
		return storage.ErrUnavailable
	}
	f := m.site.now()
	if f.storeDown || f.storeSlow && wait(ctx, 1500*time.Millisecond) != nil || wait(ctx, 4*time.Millisecond) != nil {
		return storage.ErrUnavailable
	}
	m.site.mu.Lock()
	m.site.reads++
	m.site.mu.Unlock()
	return nil
}

func (m *machine) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := m.read(ctx); err != nil {
		return storage.Row{}, err
	}
	m.site.mu.Lock()
	row, ok := m.site.rows[key]
	row.Era = m.site.era
	m.site.mu.Unlock()
	_ = m.thaw(ctx)
	if !ok {
		return row, storage.ErrNotFound
	}
	return row, nil
}

func (m *machine) Snapshot(ctx context.Context, prefix string) ([]storage.Row, time.Duration, error) {
	if err := m.read(ctx); err != nil {
		return nil, 0, err
	}
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	var rows []storage.Row
	for k, r := range m.site.rows {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			r.Era = m.site.era
			rows = append(rows, r)
		}
	}
	return rows, 0, nil
}

func (m *machine) Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error) {
	rows, err := m.PutBatch(ctx, []storage.Row{{Key: key, Value: value, Revision: expected}})
	if err != nil {
		return storage.Row{}, err
	}
	return rows[0], nil
}

func (m *machine) PutBatch(ctx context.Context, rows []storage.Row) ([]storage.Row, error) {
	if err := m.thaw(ctx); err != nil {
		return nil, err
	}
	f := m.site.now()
	if f.storeDown {
		return nil, storage.ErrUnavailable
	}
	if f.storeLate || f.storeSlow {
		time.AfterFunc(1700*time.Millisecond, func() { _, _ = m.site.commit(rows) })
		_ = wait(ctx, time.Minute)
		return nil, storage.ErrOutcomeUnknown
	}
	if wait(ctx, 4*time.Millisecond) != nil {
		return nil, storage.ErrOutcomeUnknown
	}
	out, err := m.site.commit(rows)
	if thawErr := m.thaw(ctx); thawErr != nil || f.storeLoses {
		return nil, storage.ErrOutcomeUnknown
	}
	return out, err
}

func (m *machine) Report(ctx context.Context, _ string, fence uint64, window int64, counts map[string]uint64) error {
	if err := m.thaw(ctx); err != nil {
		return err
	}
	f := m.site.now()
	if f.platformDown || wait(ctx, 2*time.Millisecond) != nil {
		return storage.ErrUnavailable
	}
	if err := CheckWrite(ctx); err != nil {
		return errors.Join(storage.ErrUnavailable, err)
	}
	// The call arrives late, but before its time-out.
	if f.platformSlow {
		_ = wait(context.Background(), 900*time.Millisecond)
	}
	m.site.report(m.name, fence, window, counts)
	if thawErr := m.thaw(ctx); thawErr != nil || f.platformLoses {
		return storage.ErrOutcomeUnknown
	}
	return nil
}

// run starts an incarnation of the gateway.
func (m *machine) run() {
	ctx, stop := context.WithCancel(context.Background())
	m.incarnation++
	m.seed++
	m.stop, m.ended = stop, make(chan struct{})
	elector := lease.NewElector(lease.Options{
		Table: m, Name: "usage", Self: fmt.Sprintf("%s/%d", m.name, m.incarnation), Now: time.Now, CallTimeout: time.Second,
		Times: lease.Times{TTL: testTTL, Margin: 600 * time.Millisecond, Renew: time.Second, Observe: time.Second, Retry: 500 * time.Millisecond, CoolDown: true},
	})
	ledger := newFakeLedger(m.site)
	var holder *Holder
	reporter := NewReporter(ReporterOptions{
		Ledger: ledger, Window: testWindow, Delay: testDelay, CallsPerSecond: 5,
		Rand: rand.New(rand.NewPCG(m.seed, 1)), OnEvent: func(e Event) { holder.LogEvent(e) },
	})
	storeEra := func() uint64 {
		m.site.mu.Lock()
		defer m.site.mu.Unlock()
		return m.site.era
	}
	holder = NewHolder(HolderOptions{
		Owner: "same", Elector: elector, Reporter: reporter, Rows: m, Client: m, Now: time.Now, TrueTime: time.Now,
		StoreEra: storeEra, Log: zerolog.Nop(), OnReport: func(string) {},
	})
	m.holder = holder
	var group sync.WaitGroup
	group.Go(func() { _ = elector.Serve(ctx) })
	group.Go(func() { _ = holder.Serve(ctx) })
	go func(ended chan struct{}) { group.Wait(); close(ended) }(m.ended)
}

// kill ends the incarnation without a release.
func (m *machine) kill() {
	m.stop()
	<-m.ended
}

// fakeLedger knows 10 requests a second of the account a since all gateways were last killed
// at once, and, once it has merged a checkpoint, those before.
type fakeLedger struct {
	began  time.Time
	skewed uint64
	// merged are the counts of earlier sources by their beginning and window.
	merged map[[2]int64]uint64
}

func newFakeLedger(s *site) *fakeLedger {
	return &fakeLedger{began: s.began, skewed: s.ledgers.Add(1), merged: map[[2]int64]uint64{}}
}

// counted is the number of requests in a window from a time to another one.
func counted(window int64, from, to time.Time) uint64 {
	begin, end := window*int64(testWindow), (window+1)*int64(testWindow)
	return uint64(max(min(end, to.UnixNano())-max(begin, from.UnixNano()), 0) / int64(100*time.Millisecond))
}

// Totals also states an account whose count differs between incarnations, as those of
// gateways that know different statements do.
func (l *fakeLedger) Totals(window int64) map[string]uint64 {
	n := counted(window, l.began, time.Now())
	for k, v := range l.merged {
		if k[0] != l.began.UnixNano() && k[1] == window {
			n += v
		}
	}
	return map[string]uint64{"a": n, "b": l.skewed}
}

func (l *fakeLedger) Complete(window int64) bool {
	return time.Now().UnixNano() > (window+1)*int64(testWindow)+int64(300*time.Millisecond)
}

func (l *fakeLedger) Windows() (first, latest int64, ok bool) {
	first, latest = l.began.UnixNano()/int64(testWindow), time.Now().UnixNano()/int64(testWindow)
	for k := range l.merged {
		first = min(first, k[1])
	}
	return first, latest, true
}

func (l *fakeLedger) Revision() uint64 { return uint64(time.Since(l.began) / (100 * time.Millisecond)) }

func (l *fakeLedger) Encode() ([][]byte, error) {
	all := maps.Clone(l.merged)
	current := time.Now().UnixNano() / int64(testWindow)
	for w := current - 7; w <= current; w++ {
		if n := counted(w, l.began, time.Now()); n > 0 {
			all[[2]int64{l.began.UnixNano(), w}] = n
		}
	}
	var value []byte
	for k, n := range all {
		value = fmt.Appendf(value, "%d,%d,%d ", k[0], k[1], n)
	}
	return [][]byte{value}, nil
}

func (l *fakeLedger) Merge(value []byte) error {
	for _, entry := range strings.Fields(string(value)) {
		var k [2]int64
		var n uint64
		if _, err := fmt.Sscanf(entry, "%d,%d,%d", &k[0], &k[1], &n); err != nil {
			return err
		}
		l.merged[k] = max(l.merged[k], n)
	}
	return nil
}

// simulate runs play on a site of n machines in virtual time and returns the site.
func simulate(t *testing.T, n int, play func(s *site, machines []*machine)) *site {
	var s *site
	synctest.Test(t, func(*testing.T) {
		s = newSite()
		var machines []*machine
		for i := range n {
			m := &machine{site: s, name: fmt.Sprintf("m%d", i), seed: uint64(i * 1000)}
			machines = append(machines, m)
			m.run()
			time.Sleep(17 * time.Millisecond)
		}
		ctx, stop := context.WithCancel(context.Background())
		copies := make(chan struct{})
		go func() {
			defer close(copies)
			for ctx.Err() == nil {
				s.keepCopy()
				_ = wait(ctx, 500*time.Millisecond)
			}
		}()
		play(s, machines)
		for _, m := range machines {
			m.kill()
		}
		stop()
		<-copies
		time.Sleep(5 * time.Second)
	})
	return s
}

// restartAll kills all gateways at once and starts them anew.
func (s *site) restartAll(machines []*machine) {
	for _, m := range machines {
		m.kill()
	}
	s.began = time.Now()
	for _, m := range machines {
		m.crashAt.Store(0)
		m.run()
	}
}

// fault is one fault of a random run.
type fault struct {
	kind     int
	machine  int
	after    time.Duration
	duration time.Duration
}

func (f fault) apply(s *site, machines []*machine) {
	m := machines[f.machine%len(machines)]
	set := func(change func(*faults, bool)) {
		for _, on := range []bool{true, false} {
			s.mu.Lock()
			change(&s.faults, on)
			s.mu.Unlock()
			if on {
				time.Sleep(f.duration)
			}
		}
	}
	switch f.kind {
	case 0:
		m.kill()
		time.Sleep(f.duration / 4)
		m.run()
	case 1:
		m.freeze(f.duration)
	case 2:
		set(func(x *faults, on bool) { x.storeDown = on })
	case 3:
		set(func(x *faults, on bool) { x.storeSlow = on })
	case 4:
		set(func(x *faults, on bool) { x.storeLoses = on })
	case 5:
		set(func(x *faults, on bool) { x.storeLate = on })
	case 6:
		set(func(x *faults, on bool) { x.platformDown = on })
	case 7:
		set(func(x *faults, on bool) { x.platformLoses = on })
	case 8:
		s.restore(int(f.duration / time.Second))
	case 9:
		m.holder.Release()
		time.Sleep(time.Second)
		m.kill()
		m.run()
	case 10:
		s.restartAll(machines)
	case 11:
		set(func(x *faults, on bool) { x.platformSlow = on })
	}
}

// Guards against two different reports of one window, a token that two machines use or that
// falls, and the order A, B, A within the TTL, whatever happens to gateways and store.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(r, "machines")
		plan := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
			return fault{
				kind: rapid.IntRange(0, 11).Draw(r, "kind"), machine: rapid.IntRange(0, 3).Draw(r, "machine"),
				after:    time.Duration(rapid.IntRange(0, 6000).Draw(r, "after")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(0, 8000).Draw(r, "duration")) * time.Millisecond,
			}
		}), 0, 12).Draw(r, "plan")
		s := simulate(t, n, func(s *site, machines []*machine) {
			for _, f := range plan {
				time.Sleep(f.after)
				f.apply(s, machines)
			}
			time.Sleep(20 * time.Second)
		})
		if len(s.violations) > 0 {
			r.Fatalf("%d violations: %v", len(s.violations), s.violations[:min(len(s.violations), 5)])
		}
		if len(s.accepted) == 0 {
			r.Fatal("no report")
		}
	})
}

// Guards against a calm day that costs more calls of the store than planned (45 renewals, 90
// observations and 180 checkpoints in 45 s), and against a report that is late or wrong.
func TestCallsOfCalmDay(t *testing.T) {
	s := simulate(t, 3, func(*site, []*machine) { time.Sleep(45 * time.Second) })
	s.checkTimely(t, 0.05, 45*time.Second)
	if s.writes > 45+180+10 || s.reads > 90+10 {
		t.Fatalf("%d writes and %d reads in 45 s", s.writes, s.reads)
	}
	t.Logf("%d writes, %d reads, %d reports", s.writes, s.reads, len(s.acts))
}

// checkTimely checks that each window that ended testDelay before the end of the run was
// reported by then, and within the tolerance of the truth.
func (s *site) checkTimely(t *testing.T, tolerance float64, run time.Duration) {
	t.Helper()
	first, end := s.start.UnixNano()/int64(testWindow), s.start.Add(run)
	for w := first; ; w++ {
		due := time.Unix(0, (w+1)*int64(testWindow)).Add(testDelay)
		if due.After(end) {
			break
		}
		truth := float64(counted(w, s.start, end))
		got, ok := s.accepted[w]
		if !ok || s.acceptedAt[w].After(due) {
			t.Errorf("window %d: reported %v at %v, due %v", w, ok, s.acceptedAt[w].Sub(s.start), due.Sub(s.start))
		} else if d := float64(got["a"]) - truth; d > tolerance*truth+1 || -d > tolerance*truth+1 {
			t.Errorf("window %d: count %d, want %v", w, got["a"], truth)
		}
	}
	if len(s.violations) > 0 {
		t.Errorf("violations: %v", s.violations)
	}
}

// Guards, for every call that a holder makes in 8 s around the end of a window, against a
// holder killed before or after just this call, whose windows are then missing, late or
// reported twice with different counts.
func TestHolderKilledAtEachCall(t *testing.T) {
	for k := range 60 {
		for _, all := range []bool{false, true} {
			s := simulate(t, 3, func(s *site, machines []*machine) {
				time.Sleep(8 * time.Second)
				var victim *machine
				for _, m := range machines {
					if m.holder.Holding() {
						victim = m
					}
				}
				victim.crashed = make(chan struct{})
				victim.crashAt.Store(int64(k + 1))
				select {
				case <-victim.crashed:
				case <-time.After(12 * time.Second):
					panic("the holder made no further call")
				}
				if !all {
					victim.kill()
					victim.crashAt.Store(0)
					victim.run()
				}
				if all {
					s.restartAll(machines)
				}
				time.Sleep(35*time.Second - time.Since(s.start))
			})
			if s.checkTimely(t, 0.05, 35*time.Second); t.Failed() {
				t.Fatalf("killed at call %d, all gateways %v", k, all)
			}
		}
	}
}
