package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// leakyStore is a table of a store that loses the answers which it gives to some gateways for
// a while; the calls stay open.
type leakyStore struct {
	began time.Time
	// lossFrom and lossTo are the ends of the loss since began.
	lossFrom, lossTo time.Duration
	// changes are the times since began at which the table changes.
	changes []time.Duration
}

// version returns the number of changes so far.
func (s *leakyStore) version() int64 {
	n := int64(0)
	for _, at := range s.changes {
		if time.Since(s.began) >= at {
			n++
		}
	}
	return n
}

// leakySource is the store as one gateway sees it.
type leakySource struct {
	*leakyStore
	loses bool
}

func (s leakySource) answer(ctx context.Context, page Page) (Page, error) {
	if age := time.Since(s.began); s.loses && age >= s.lossFrom && age < s.lossTo {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return page, nil
}

func (s leakySource) List(ctx context.Context) (Page, error) {
	return s.answer(ctx, Page{Version: s.version()})
}

func (s leakySource) Changes(ctx context.Context, since int64, wait time.Duration) (Page, error) {
	for deadline := time.Now().Add(wait); s.version() <= since && time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	page := Page{Version: s.version()}
	if page.Version > since {
		page.Rows = []Row{{Version: page.Version}}
	}
	return s.answer(ctx, page)
}

func (leakySource) Era() uint64 { return 0 }

// Guards against a change that a gateway learns late because an earlier answer to it was
// lost, so that it sends work to an endpoint that has left: the store loses its answers to one
// gateway or to all for a while, and a change follows as soon as all must know that the store
// is back.
func TestLostAnswerDoesNotHideALaterChange(t *testing.T) {
	seed := uint64(0)
	for _, gateways := range []int{1, 1, 1, 1, 2, 5, 29, 103} {
		for _, loss := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1900 * time.Millisecond} {
			for _, all := range []bool{false, true} {
				seed++
				t.Run(fmt.Sprintf("%d gateways, answers lost for %v, to all: %t, seed %d", gateways, loss, all, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { loseAnswers(t, seed, gateways, loss, all) })
				})
			}
		}
	}
}

func loseAnswers(t *testing.T, seed uint64, gateways int, loss time.Duration, all bool) {
	const (
		lossFrom = 6 * time.Second
		notice   = 3 * time.Second
		// bound is the time within which endpoints that leave must be known.
		bound = 2 * time.Second
		// statementInterval is the time between two statements of all gateways together.
		statementInterval = 12 * time.Millisecond
	)
	ctx, cancel := context.WithCancel(t.Context())
	lossTo := lossFrom + loss
	changed := lossTo + notice
	store := &leakyStore{began: time.Now(), lossFrom: lossFrom, lossTo: lossTo, changes: []time.Duration{lossFrom + loss/2, changed}}
	var sinks []*changeSink
	var followers []*Follower
	var statuses []*StoreStatus
	for i := range gateways {
		status := NewStoreStatus(rand.New(rand.NewPCG(seed, uint64(2*i))))
		status.SetGateways(gateways, gateways == 1)
		sink := &changeSink{}
		f := New(Options{
			Source: leakySource{store, all || i == 0}, Sink: sink, Status: status,
			Rand: rand.New(rand.NewPCG(seed, uint64(2*i+1))), CoalesceDelay: bound / 4,
		})
		sinks, followers, statuses = append(sinks, sink), append(followers, f), append(statuses, status)
		go func() { _ = f.Serve(ctx) }()
	}
	for turn := 0; time.Since(store.began) < changed+bound; turn++ {
		time.Sleep(statementInterval)
		from := turn % gateways
		era, version := followers[from].LatestChange()
		at := statuses[from].RecoveredAt()
		for to := range followers {
			if to == from {
				continue
			}
			followers[to].HintChange(time.Now(), era, version)
			if !at.IsZero() {
				statuses[to].HintRecovered(time.Now(), at)
			}
		}
	}
	cancel()
	synctest.Wait()
	for i, sink := range sinks {
		if took := sink.changedAt.Sub(store.began.Add(changed)); took < 0 || took > bound {
			t.Errorf("gateway %d has not seen the change after %v", i, bound)
		}
	}
}

// Guards against a gateway without peers, which nobody tells of a change, and that notices a
// lost answer only after the time in which the platform expects that the store is known to be
// back.
func TestGatewayAloneNoticesALostAnswerInTime(t *testing.T) {
	const notice = 3 * time.Second
	status := NewStoreStatus(rand.New(rand.NewPCG(1, 2)))
	status.SetGateways(1, true)
	for range 1000 {
		if wait, _ := status.nextWait(); wait+callSlack > notice {
			t.Fatalf("a long poll of %v counts as failed only after %v", wait, wait+callSlack)
		}
	}
}

// Guards against calls that follow each other without end because a peer states a version that
// the store does not show.
func TestHintOfAnUnknownChangeCausesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := 0
		source := countingSource{leakySource{&leakyStore{began: time.Now()}, false}, &calls}
		f := New(Options{Source: source, Sink: &fakeSink{}, Rand: rand.New(rand.NewPCG(1, 2))})
		go func() { _ = f.Serve(ctx) }()
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			f.HintChange(time.Now(), 0, 1000)
		}
		synctest.Wait()
		// Two calls, one that is ended and one that returns at once, for each coalesceDelay.
		if most := int(2 * 10 * time.Second / defaultCoalesceDelay); calls > most {
			t.Errorf("%d calls in 10 s, want at most %d", calls, most)
		}
	})
}

type countingSource struct {
	leakySource
	calls *int
}

func (s countingSource) Changes(ctx context.Context, since int64, wait time.Duration) (Page, error) {
	*s.calls++
	return s.leakySource.Changes(ctx, since, wait)
}

// Guards against an outage that counts as none, so that what lapsed in it gets no grace, and
// against a single lost answer that counts as one.
func TestUptimeEndsWithAnOutage(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		answers   []float64
		now, want float64
		unknown   bool
	}{
		"no answer":                          {nil, 10, 0, true},
		"answers of several gateways":        {[]float64{1, 2, 2.5, 4, 5.9}, 6, 1, false},
		"an outage":                          {[]float64{1, 2, 6, 6.5}, 7, 6, false},
		"answers that are told late":         {[]float64{1, 3, 2.5, 2}, 4, 1, false},
		"an answer from before an outage":    {[]float64{1, 6, 2}, 7, 6, false},
		"the last answer is long ago":        {[]float64{1, 2, 3}, 5.5, 0, true},
		"an answer that fills a gap at once": {[]float64{5, 3.5, 2}, 6, 2, false},
	} {
		var u Uptime
		for _, answer := range c.answers {
			u.Answered(at(answer))
		}
		got := u.Since(at(c.now))
		if got.IsZero() != c.unknown || !c.unknown && !got.Equal(at(c.want)) {
			t.Errorf("%s: answering since %v, want %v s", name, got.Sub(start), c.want)
		}
	}
}
