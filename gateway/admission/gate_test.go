package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

var start = time.Unix(1_800_000_000, 0)

func chat(rank int) Request {
	return Request{
		Service: "pool", Route: "chat", Streaming: true, Priority: routing.Priority{Rank: rank}, Prompt: 700,
		Target: 400 * time.Millisecond, TimeLeft: 15 * time.Second,
	}
}

func plan(rank int) Request {
	return Request{
		Service: "pool", Route: "plan", Streaming: true, Priority: routing.Priority{Rank: rank}, Prompt: 9000,
		Target: 2 * time.Second, TimeLeft: 8 * time.Second,
	}
}

func waiting(d time.Duration) Choice {
	return placement.Choice{Expected: d + 20*time.Millisecond, Wait: d}
}

// busyChoice is an endpoint at which a long prompt waits, and would still begin in time.
var busyChoice = waiting(400 * time.Millisecond)

func newGate() *Gate { return NewGate(rand.New(rand.NewPCG(1, 2))) }

// offer asks the gate about n requests, 10 ms apart, and returns the admitted share.
func offer(g *Gate, now *time.Time, n int, r Request, c Choice) float64 {
	admitted := 0
	for range n {
		*now = now.Add(10 * time.Millisecond)
		if g.Decide(*now, r, c).Admitted {
			admitted++
		}
	}
	return float64(admitted) / float64(n)
}

// Guards against a caller that waits for a response that cannot meet the deadline.
func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	r := plan(2)
	r.TimeLeft = time.Second
	d := newGate().Decide(start, r, waiting(2*time.Second))
	if d.Admitted || d.Reason != OutOfTime || d.RetryAfter <= 0 {
		t.Fatalf("%+v, want a refusal with a Retry-After", d)
	}
}

// Guards against chats that are refused while long prompts are still admitted: a burst of
// long prompts delays chats. The long prompts are refused first.
func TestBurstOfLongPromptsYieldsToChats(t *testing.T) {
	g := newGate()
	now := start
	offer(g, &now, 50, plan(2), waiting(100*time.Millisecond))
	late := waiting(time.Second)
	if share := offer(g, &now, 5, chat(0), late); share != 1 {
		t.Fatalf("%.2f of the chats were admitted while long prompts ran, want all", share)
	}
	admittedPlans := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		chatDecision := g.Decide(now, chat(0), late)
		planDecision := g.Decide(now, plan(2), busyChoice)
		if planDecision.Admitted {
			admittedPlans++
		}
		if !chatDecision.Admitted && planDecision.Admitted {
			t.Fatal("a chat was refused while a long prompt was admitted")
		}
	}
	if admittedPlans > 40 {
		t.Fatalf("%d of 200 long prompts were admitted while chats were late", admittedPlans)
	}
}

// Guards against small requests that are refused as often as large ones: accounts of one
// rank send chats and long prompts. The much larger prompts are refused first, since the
// same capacity then serves more callers.
func TestSameRankLargerPromptsYieldFirst(t *testing.T) {
	g := newGate()
	now := start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		g.Decide(now, chat(1), waiting(time.Second))
		g.Decide(now, plan(1), busyChoice)
	}
	if share := offer(g, &now, 20, plan(1), busyChoice); share > 0.5 {
		t.Fatalf("%.2f of the large prompts were admitted beside late small ones", share)
	}
}

// Guards against refusing a smaller request while larger ones of the same rank run:
// demand rises at once to three times the capacity, and requests that were admitted
// before the rise was noticed still occupy the engines. No smaller request of the rank
// is refused until they have ended.
func TestCrowdIsNotRefusedWhileLargerPromptsOfItsRankRun(t *testing.T) {
	g := newGate()
	now := start
	offer(g, &now, 30, plan(1), busyChoice)
	lastBegun := now
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		refused := !g.Decide(now, chat(1), waiting(time.Second)).Admitted
		if refused && now.Sub(lastBegun) < recentWindow {
			t.Fatalf("a chat was refused %v after a larger prompt began", now.Sub(lastBegun))
		}
		if g.Decide(now, plan(1), busyChoice).Admitted {
			lastBegun = now
		}
	}
	if now.Sub(lastBegun) < recentWindow {
		t.Fatal("larger prompts were admitted all the time while every chat was late")
	}
}

// Guards against requests of a less urgent route that are admitted beside late ones of
// another route: many callers of one account send questions and chats of about the same
// size. Requests of the less urgent route are refused in favor of the other.
func TestCrowdOfOneAccountYieldsByTheRankOfTheRoute(t *testing.T) {
	g := newGate()
	now := start
	question := chat(1)
	question.Route, question.Priority.RouteRank = "question", 1
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		g.Decide(now, chat(1), waiting(time.Second))
		g.Decide(now, question, waiting(100*time.Millisecond))
	}
	if share := offer(g, &now, 20, question, waiting(100*time.Millisecond)); share > 0.5 {
		t.Fatalf("%.2f of the questions were admitted beside late chats of the same account", share)
	}
}

// Guards against a baseline measurement that silently uses the default rule.
func TestDeadlineOnlyAdmitsWhatIsLate(t *testing.T) {
	g := newGate()
	g.SetRule(DeadlineOnly)
	now := start
	if share := offer(g, &now, 50, chat(1), waiting(5*time.Second)); share < 1 {
		t.Fatalf("%.2f of late chats were admitted, want all", share)
	}
	if share := offer(g, &now, 50, plan(2), waiting(9*time.Second)); share > 0 {
		t.Fatalf("%.2f were admitted beyond their deadline", share)
	}
}

// Guards against less urgent requests that are still refused after the urgent ones
// have ended.
func TestLessUrgentWorkReturnsAfterThePressure(t *testing.T) {
	g := newGate()
	now := start
	offer(g, &now, 50, plan(2), waiting(0))
	offer(g, &now, 50, chat(0), waiting(time.Second))
	now = now.Add(10 * time.Second)
	if share := offer(g, &now, 50, plan(2), waiting(0)); share < 1 {
		t.Fatalf("%.2f of the long prompts were admitted 10 s after the last late chat, want all", share)
	}
}

// Guards against a refusal whose log line cannot state which share of such requests
// is refused.
func TestRefusalStatesTheShareThatMadeRoom(t *testing.T) {
	g := newGate()
	now := start
	offer(g, &now, 20, plan(2), busyChoice)
	g.SetPeerPressure(now, "peer-1", RequestClass{Service: "pool", Route: "chat"}, Pressure{Size: 700, Offered: 10, Late: 10})
	d := g.Decide(now, plan(2), busyChoice)
	if d.Admitted || d.Share < 1 {
		t.Fatalf("%+v, want a refusal with a share of at least 1", d)
	}
}

// Guards against a gateway that admits less urgent requests although at all others
// urgent ones are late.
func TestPressureOfPeersCounts(t *testing.T) {
	g := newGate()
	now := start
	offer(g, &now, 20, plan(2), busyChoice)
	k := RequestClass{Service: "pool", Route: "chat"}
	g.SetPeerPressure(now, "peer-1", k, Pressure{Size: 700, Offered: 10, Late: 5})
	if share := offer(g, &now, 20, plan(2), busyChoice); share > 0.2 {
		t.Fatalf("%.2f of the long prompts were admitted while a peer's chats were late", share)
	}
	g.SetPeerPressure(now, "peer-1", RequestClass{Service: "other", Route: "chat"}, Pressure{Size: 700, Offered: 10, Late: 10})
	now = now.Add(5 * time.Second)
	if share := offer(g, &now, 20, plan(2), waiting(0)); share < 1 {
		t.Fatalf("%.2f of the long prompts were admitted, want all: late requests of another service counted", share)
	}
}

// Guards against a prompt being refused for its own size on an idle endpoint.
func TestLargePromptWithoutWaitIsAdmitted(t *testing.T) {
	c := placement.Choice{Expected: 3 * time.Second, Wait: 0}
	if d := newGate().Decide(start, plan(2), c); !d.Admitted {
		t.Fatalf("%+v, want admission", d)
	}
}

// Guards against refusals due to the default engine speed, which holds for the first
// requests of a site after a cold start: the engines may well serve in time.
func TestNothingIsRefusedByASpeedThatNobodyObserved(t *testing.T) {
	r := Request{Streaming: true, Target: time.Second, TimeLeft: 10 * time.Second}
	late := Choice{Expected: 3 * time.Second, Wait: 2 * time.Second}
	if d := checkLatency(r, late); d.Admitted {
		t.Fatal("a late stream was admitted")
	}
	late.SpeedUnknown = true
	if d := checkLatency(r, late); !d.Admitted {
		t.Fatalf("refused as %s by the default speed", d.Reason)
	}
	late.Expected = 11 * time.Second
	if d := checkLatency(r, late); d.Admitted {
		t.Fatal("admitted although it would begin after the deadline even at the default speed")
	}
}

// Guards against a gateway that refuses urgent requests while another one admits larger,
// less urgent prompts: at four times the usual arrivals, each of many gateways admits
// few of them. Urgent requests may be refused once all have stopped for recentWindow.
func TestUrgentWorkIsNotRefusedWhileAPeerServesLessUrgent(t *testing.T) {
	g := newGate()
	now := start
	less := plan(2)
	peerClass := RequestClass{Service: less.Service, Route: less.Route, Priority: less.Priority}
	g.SetPeerPressure(now, "peer", peerClass, Pressure{Size: float64(less.Prompt), LastAdmitted: now})
	if share := offer(g, &now, 50, chat(0), waiting(time.Second)); share != 1 {
		t.Fatalf("%.2f of the late chats were admitted, want all", share)
	}
	now = now.Add(recentWindow)
	if share := offer(g, &now, 50, chat(0), waiting(time.Second)); share != 0 {
		t.Fatalf("%.2f of the late chats were admitted after less urgent requests had ended, want none", share)
	}
}

// Guards against a gateway that does not report to its peers that it admitted less
// urgent requests while more urgent ones were late.
func TestGateStatesWhatItAdmittedUnderPressure(t *testing.T) {
	g := newGate()
	now := start
	stated := func() (n int) {
		g.ReportOwn(now, func(k RequestClass, p Pressure) {
			if k.Route == "plan" && now.Sub(p.LastAdmitted) < recentWindow {
				n++
			}
		})
		return n
	}
	offer(g, &now, 5, plan(2), waiting(0))
	if stated() != 0 {
		t.Fatal("reported although no urgent request was late")
	}
	offer(g, &now, 5, chat(0), waiting(time.Second))
	if stated() != 1 {
		t.Fatal("not reported although more urgent requests are late")
	}
}

// Guards against larger prompts that are admitted in place of refused urgent requests: at
// four times the usual arrivals, urgent requests were refused for lack of capacity, the
// engines have become idle since, and larger prompts arrive before the urgent retries.
func TestLessUrgentWorkIsHeldBackAfterUrgentWorkWasRefused(t *testing.T) {
	g := newGate()
	now := start
	refused := chat(0)
	peerClass := RequestClass{Service: refused.Service, Route: refused.Route, Priority: refused.Priority}
	g.SetPeerPressure(now, "peer", peerClass, Pressure{Size: float64(refused.Prompt), LastRefused: now})
	if share := offer(g, &now, 50, plan(2), waiting(0)); share != 0 {
		t.Fatalf("%.2f of the long prompts were admitted, want none", share)
	}
	now = now.Add(recentWindow)
	if share := offer(g, &now, 50, plan(2), waiting(0)); share != 1 {
		t.Fatalf("%.2f of the long prompts were admitted later, want all", share)
	}
}

// Guards against a class that is not shed because a peer states a larger typical
// size of the same class, as happens when the first prompts there were large.
func TestClassDoesNotCompeteWithItself(t *testing.T) {
	g := newGate()
	now := start
	less := plan(2)
	same := RequestClass{Service: less.Service, Route: less.Route, Priority: less.Priority}
	g.SetPeerPressure(now, "peer", same, Pressure{Size: 5 * float64(less.Prompt), LastAdmitted: now})
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		g.Decide(now, chat(0), waiting(time.Second))
	}
	if share := offer(g, &now, 50, less, busyChoice); share > 0.2 {
		t.Fatalf("%.2f of the long prompts were admitted beside late chats", share)
	}
}

// Guards against refusing less urgent requests while an engine has no prompt to read,
// which leaves engines idle and makes all refused callers return at once: in a short
// burst at a fully loaded site, urgent requests were late for a moment, the engines have
// become idle since, and the late counts decay only after that.
func TestNothingIsRefusedWhereAnEngineIsFree(t *testing.T) {
	g := newGate()
	now := start
	offer(g, &now, 50, plan(2), waiting(0))
	offer(g, &now, 30, chat(0), waiting(time.Second))
	if share := offer(g, &now, 50, plan(2), waiting(plan(2).Target/idleWaitDivisor)); share != 1 {
		t.Fatalf("%.2f of the long prompts were admitted at an idle engine, want all", share)
	}
	if share := offer(g, &now, 10, plan(2), busyChoice); share > 0.2 {
		t.Fatalf("%.2f of the long prompts were admitted at a busy engine beside late chats", share)
	}
}
