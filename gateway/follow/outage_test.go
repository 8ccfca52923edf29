package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// downSource is a table of a store that refuses calls for the time down, and answers
// after that.
type downSource struct {
	began time.Time
	down  time.Duration
	calls *atomic.Int64
}

func (s downSource) answer(ctx context.Context, wait time.Duration) (Page, error) {
	s.calls.Add(1)
	if time.Since(s.began) < s.down {
		return Page{}, errors.New("status 503")
	}
	select {
	case <-ctx.Done():
		return Page{}, ctx.Err()
	case <-time.After(wait):
		return Page{Version: 1}, nil
	}
}

func (s downSource) List(ctx context.Context) (Page, error) { return s.answer(ctx, 0) }
func (s downSource) Changes(ctx context.Context, _ int64, wait time.Duration) (Page, error) {
	return s.answer(ctx, wait)
}

// returnSink records when the store answered again.
type returnSink struct {
	fakeSink
	regainedAt time.Time
}

func (s *returnSink) Regained() { s.regainedAt = time.Now() }

// Guards against calls that overload a store that is down, and against a gateway that has
// not noticed the recovery before the platform counts the store as stable: the store is
// down for nine seconds while a hundred gateways follow two tables each.
func TestOutageOfManyGatewaysIsNoStorm(t *testing.T) {
	const gateways, down, stableAfter = 103, 9 * time.Second, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var calls atomic.Int64
		began := time.Now()
		var sinks []*returnSink
		for i := range gateways {
			status := NewStoreStatus(rand.New(rand.NewPCG(uint64(i), 1)))
			status.SetGateways(gateways, gateways == 1)
			for table := range 2 {
				sink := &returnSink{}
				sinks = append(sinks, sink)
				f := New(Options{
					Source: downSource{began, down, &calls}, Sink: sink, Status: status,
					Rand: rand.New(rand.NewPCG(uint64(i), uint64(2+table))),
				})
				go func() { _ = f.Serve(ctx) }()
			}
		}
		time.Sleep(down)
		if perSecond := float64(calls.Load()) / down.Seconds(); perSecond > 130 {
			t.Errorf("%.0f calls a second to a store that is down", perSecond)
		}
		time.Sleep(stableAfter)
		cancel()
		synctest.Wait()
		for i, sink := range sinks {
			if sink.regainedAt.IsZero() {
				t.Errorf("follower %d has not noticed the return after %v", i, stableAfter)
			}
		}
	})
}

// Guards against a gateway that waits for the end of its backoff although a peer has stated
// that the store is back, and against a gateway whose calls are refused following
// such hints again and again.
func TestHintOfAPeerEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		status := NewStoreStatus(rand.New(rand.NewPCG(1, 2)))
		status.SetGateways(100, false)
		status.failed(time.Now())
		for range 10 {
			status.waitTurn(t.Context())
		}
		began := time.Now()
		go func() {
			time.Sleep(10 * time.Millisecond)
			status.HintRecovered(time.Now(), time.Now())
		}()
		status.waitTurn(t.Context())
		if waited := time.Since(began); waited > 10*time.Millisecond+hintSpread {
			t.Fatalf("waited %v after a hint", waited)
		}
		again := time.Now()
		status.HintRecovered(again, again)
		status.waitTurn(t.Context())
		if waited := time.Since(again); waited < maxBackoff/2 {
			t.Fatalf("the second hint was followed after %v", waited)
		}
	})
}

// silentSource is a table of a store that is silent for a while: calls then are never
// answered, but their connections stay open.
type silentSource struct {
	began time.Time
	// silentFrom and to are the ends of the silence since began.
	silentFrom, to time.Duration
	// changedAt is when the table changes, since began; zero for never.
	changedAt time.Duration
}

func (s silentSource) silent() bool {
	age := time.Since(s.began)
	return age >= s.silentFrom && age < s.to
}

func (s silentSource) List(context.Context) (Page, error) { return Page{Version: 1}, nil }

func (s silentSource) Changes(ctx context.Context, since int64, wait time.Duration) (Page, error) {
	deadline := time.Now().Add(wait)
	for {
		age := time.Since(s.began)
		switch {
		case s.silent():
			<-ctx.Done()
			return Page{}, ctx.Err()
		case since < 2 && s.changedAt > 0 && age >= s.changedAt:
			return Page{Version: 2, Rows: make([]Row, 1)}, nil
		case !time.Now().Before(deadline):
			return Page{Version: since}, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// changeSink records when it received changed rows.
type changeSink struct {
	fakeSink
	changedAt time.Time
}

func (s *changeSink) Changed([]Row) { s.changedAt = time.Now() }

// Guards against a change that stays hidden for the rest of the wait of a long poll from
// before a silence, which is never answered: the store goes silent without closing
// connections, returns, and gets a new configuration. Found by a varied store day (seed
// 193359517948, therri-gateway-grown): 5 s after version 47 was acknowledged, two
// gateways still had version 45.
func TestSilentStoreDoesNotHideALaterChange(t *testing.T) {
	for _, gateways := range []int{1, 5, 29, 103} {
		synctest.Test(t, func(t *testing.T) {
			const silentFrom, back, changed = 5 * time.Second, 11 * time.Second, 14 * time.Second
			const bound = 5 * time.Second
			ctx, cancel := context.WithCancel(t.Context())
			began := time.Now()
			var sinks []*changeSink
			var statuses []*StoreStatus
			for i := range gateways {
				status := NewStoreStatus(rand.New(rand.NewPCG(uint64(i), 1)))
				status.SetGateways(gateways, gateways == 1)
				statuses = append(statuses, status)
				for table, source := range []silentSource{{began, silentFrom, back, changed}, {began, silentFrom, back, 0}} {
					sink := &changeSink{}
					if table == 0 {
						sinks = append(sinks, sink)
					}
					f := New(Options{Source: source, Sink: sink, Status: status, Rand: rand.New(rand.NewPCG(uint64(i), uint64(2+table)))})
					go func() { _ = f.Serve(ctx) }()
				}
			}
			// Every second, gateways state to each other that the store is back.
			for time.Since(began) < changed+bound {
				time.Sleep(time.Second)
				for _, from := range statuses {
					at := from.RecoveredAt()
					for _, to := range statuses {
						if !at.IsZero() && to != from {
							to.HintRecovered(time.Now(), at)
						}
					}
				}
			}
			cancel()
			synctest.Wait()
			for i, sink := range sinks {
				if took := sink.changedAt.Sub(began.Add(changed)); sink.changedAt.IsZero() || took > bound {
					t.Errorf("%d gateways: gateway %d has not seen the change after %v", gateways, i, bound)
				}
			}
		})
	}
}

// Guards against two followers that call a failed store at the same time, and against one
// that keeps waiting after the other was answered.
func TestFollowersShareAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		status := NewStoreStatus(rand.New(rand.NewPCG(1, 2)))
		status.SetGateways(1000, false)
		status.failed(time.Now())
		var mu sync.Mutex
		var turns []string
		for i := range 2 {
			go func() {
				for range 4 {
					status.waitTurn(t.Context())
					mu.Lock()
					turns = append(turns, fmt.Sprint(i, " ", time.Now().UnixMilli()))
					mu.Unlock()
				}
			}()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for i := 1; i < len(turns); i++ {
			if turns[i][2:] == turns[i-1][2:] {
				t.Fatalf("two calls at once: %v", turns)
			}
		}
		before := len(turns)
		now := time.Now()
		status.answered(now)
		synctest.Wait()
		if len(turns) == before {
			t.Fatal("no follower continued after an answer")
		}
		if at := status.RecoveredAt(); !at.Equal(now) {
			t.Fatalf("answered at %v, want %v", at, now)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a failing table that is called as often as those that are answered.
func TestAnswersOfAnotherTableDoNotHurryAFailingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		status := NewStoreStatus(rand.New(rand.NewPCG(1, 2)))
		var failing, answered atomic.Int64
		began := time.Now()
		for i, s := range []downSource{{began, time.Hour, &failing}, {began, 0, &answered}} {
			f := New(Options{Source: s, Sink: &fakeSink{}, Status: status, Rand: rand.New(rand.NewPCG(3, uint64(i)))})
			go func() { _ = f.Serve(ctx) }()
		}
		<-ctx.Done()
		synctest.Wait()
		if n := failing.Load(); n > 30 {
			t.Fatalf("%d calls for the failing table in 10 s", n)
		}
	})
}

func (downSource) Era() uint64 { return 0 }

func (silentSource) Era() uint64 { return 0 }
