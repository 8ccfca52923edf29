package budget_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/router/budget"
)

// A fixed seed makes runs reproducible; command-line flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against more repeated attempts than the fraction plus the burst allow, for
// one account or in total, and against a refusal although tokens are left.
func TestNeverAboveFractionPlusBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accountBurst, totalBurst := rapid.IntRange(1, 5).Draw(t, "account"), rapid.IntRange(1, 12).Draw(t, "total")
		b := budget.New(budget.Options{AccountBurst: accountBurst, TotalBurst: totalBurst})
		// All counts are in thousandths of a token. saved and total are what is left.
		firsts, spent, saved := map[string]int{}, map[string]int{}, map[string]int{}
		allFirsts, allSpent, total := 0, 0, totalBurst*1000
		account := func(t *rapid.T) string {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			if _, known := saved[name]; !known {
				saved[name] = accountBurst * 1000
			}
			return name
		}
		t.Repeat(map[string]func(*rapid.T){
			"first": func(t *rapid.T) {
				a := account(t)
				for range rapid.IntRange(1, 30).Draw(t, "n") {
					b.RecordFirst(a)
					firsts[a], allFirsts = firsts[a]+1, allFirsts+1
					saved[a], total = min(saved[a]+100, accountBurst*1000), min(total+100, totalBurst*1000)
				}
			},
			"spend": func(t *rapid.T) {
				a, use := account(t), rapid.SampledFrom([]budget.Use{budget.Retry, budget.Redirect, budget.Hedge}).Draw(t, "use")
				cost, keepAccount, keepTotal := 1000, 0, 0
				if use == budget.Redirect {
					cost = 250
				}
				if use == budget.Hedge {
					keepAccount, keepTotal = accountBurst*500, totalBurst*500
				}
				want := saved[a] >= cost+keepAccount && total >= cost+keepTotal
				if got := b.Spend(a, use); got != want {
					t.Fatalf("use %d: %t, want %t with %d and %d left", use, got, want, saved[a], total)
				}
				if want {
					spent[a], allSpent = spent[a]+cost, allSpent+cost
					saved[a], total = saved[a]-cost, total-cost
				}
			},
			"": func(t *rapid.T) {
				for a := range spent {
					if spent[a] > firsts[a]*100+accountBurst*1000 {
						t.Fatalf("account %s spent %d after %d first attempts", a, spent[a], firsts[a])
					}
				}
				if allSpent > allFirsts*100+totalBurst*1000 {
					t.Fatalf("spent %d after %d first attempts", allSpent, allFirsts)
				}
			},
		})
	})
}

// Guards against memory that grows with the number of accounts, and against
// forgotten accounts, which start again with a full bucket, that exceed the total of
// the router.
func TestAccountsAreBounded(t *testing.T) {
	b := budget.New(budget.Options{MaxAccounts: 4, AccountBurst: 2, TotalBurst: 10})
	granted := 0
	for i := range 100 {
		if b.Spend(fmt.Sprintf("account-%d", i%10), budget.Retry) {
			granted++
		}
	}
	if granted != 10 {
		t.Errorf("%d granted from a total of 10", granted)
	}
}

// Guards against hedges of requests that must not run twice, that are not late,
// or that would use up the tokens that retries need.
func TestHedge(t *testing.T) {
	b, h := budget.New(budget.Options{}), budget.NewHedger(budget.HedgeOptions{})
	for i := range 19 {
		h.Observe("chat", time.Duration(i+1)*10*time.Millisecond)
	}
	if h.Allow(b, "a", "chat", true, time.Hour) {
		t.Error("hedge without enough samples")
	}
	for i := range 200 {
		h.Observe("chat", time.Duration(i%100+1)*10*time.Millisecond)
	}
	delay, _ := h.Delay("chat")
	if delay < 930*time.Millisecond || delay > 980*time.Millisecond {
		t.Errorf("p95 of 10 ms to 1 s: %v", delay)
	}
	if h.Allow(b, "a", "chat", true, delay-1) || h.Allow(b, "a", "chat", false, time.Hour) {
		t.Error("hedge of a request that is not late or not idempotent")
	}
	for range 128 {
		h.Observe("fast", 90*time.Millisecond)
	}
	for range 128 {
		h.Observe("fast", 30*time.Millisecond)
	}
	if fast, _ := h.Delay("fast"); fast != 30*time.Millisecond {
		t.Errorf("old samples remain: p95 %v of 30 ms", fast)
	}
	granted := 0
	for range 100 {
		if h.Allow(b, "a", "chat", true, delay) {
			granted++
		}
	}
	if granted != 5 || !b.Spend("a", budget.Retry) {
		t.Errorf("%d hedges from a burst of 10, then no retry", granted)
	}
}

// BenchmarkBudget measures the cost of the budget on the path of every request.
func BenchmarkBudget(b *testing.B) {
	budgets, hedger := budget.New(budget.Options{}), budget.NewHedger(budget.HedgeOptions{})
	names := make([]string, 840)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		budgets.RecordFirst(names[i%len(names)])
		hedger.Observe("chat", time.Duration(i%100)*time.Millisecond)
	}
}

// Guards against routers that together exceed their shared allowance because each
// still holds the burst that it had when there were fewer of them.
func TestResizeTakesWhatIsBeyondTheNewBurst(t *testing.T) {
	b := budget.New(budget.Options{Fraction: 0.2, AccountBurst: 10, TotalBurst: 10, RedirectCost: 1})
	b.Resize(2, 3)
	spent := 0
	for _, account := range []string{"a", "b", "c", "d"} {
		for b.Spend(account, budget.Retry) {
			spent++
		}
	}
	if spent != 3 {
		t.Fatalf("%d tokens spent, want 3", spent)
	}
	b.Resize(20, 20)
	if b.Spend("a", budget.Retry) {
		t.Fatal("a larger burst handed out tokens that were not earned")
	}
}
