package demo_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/loadgen"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/standin"
)

// The load generator measures at the caller, from the scheduled time of a
// request; the router measures between receipt and its own writes. The times of
// one request therefore differ by the known send delay and by the delivery
// between the two, which the following bounds allow for.
const (
	// deliveryAllowance is how much earlier or later one chunk may reach the
	// caller, relative to the chunk before it.
	deliveryAllowance = 20 * time.Millisecond
	// pauseAllowance adds a pause of the process in which all of this runs.
	pauseAllowance = 200 * time.Millisecond
	// gapAllowance is the number of times between tokens of one request that may
	// differ more: one by a pause, and one by the last chunk, which has a finish
	// reason and no text and is a token for the router only.
	gapAllowance = 2
)

// callerCount is what the callers of one profile saw.
type callerCount struct {
	sent, notRun, unknown, excluded int
	codes                           map[resultcode.Code]int64
	// met and missed are the requests about which the two sides cannot differ.
	met, missed int
	// late describes the requests that callers saw miss their target.
	late []string
}

// callerCounts collects the results by profile.
type callerCounts struct {
	target   map[string]catalog.Target
	profile  map[string]string
	profiles map[string]*callerCount
}

func newCallerCounts(classes []loadgen.Class) *callerCounts {
	c := &callerCounts{
		target: map[string]catalog.Target{}, profile: map[string]string{}, profiles: map[string]*callerCount{},
	}
	for _, class := range classes {
		c.target[class.Name], c.profile[class.Name] = class.Target, class.Profile
		c.profiles[class.Profile] = &callerCount{codes: map[resultcode.Code]int64{}}
	}
	return c
}

func (c *callerCounts) add(r loadgen.Result) {
	p := c.profiles[c.profile[r.Sent.Class]]
	p.sent++
	if r.Code != 0 {
		p.codes[resultcode.Code(r.Code)]++
	}
	switch r.Execution {
	case string(resultcode.NotRun):
		p.notRun++
	case string(resultcode.Unknown):
		p.unknown++
	}
	switch target := c.target[r.Sent.Class]; {
	case r.Code/1000 == 1:
		p.excluded++
	case r.Outcome != loadgen.Whole || certainlyMissed(r, target):
		p.missed++
		p.late = append(p.late, fmt.Sprintf("outcome %v, code %d, sent %v late, first token %v, whole %v", r.Outcome, r.Code, r.SendDelay, r.FirstToken, r.Whole))
	case certainlyMet(r, target):
		p.met++
	}
}

func exceeds(d time.Duration, targetMS int) bool {
	return targetMS > 0 && d > time.Duration(targetMS)*time.Millisecond
}

func lateGaps(r loadgen.Result, targetMS int, shift time.Duration) int {
	late := 0
	for _, gap := range r.Gaps {
		if exceeds(gap+shift, targetMS) {
			late++
		}
	}
	return late
}

// lateShare is the share of times between tokens that may exceed the target.
const lateShare = 0.05

// certainlyMissed reports whether the request missed its target even if delivery
// took all of its allowance.
func certainlyMissed(r loadgen.Result, target catalog.Target) bool {
	shift := r.SendDelay + pauseAllowance
	if exceeds(r.FirstToken-shift, target.FirstTokenMS) || exceeds(r.Whole-shift, target.WholeMS) {
		return true
	}
	late := lateGaps(r, target.InterTokenMS, -deliveryAllowance) - gapAllowance
	return float64(late) > lateShare*float64(len(r.Gaps)+1)
}

// certainlyMet reports whether the request met its target even if the router saw
// each time longer by the allowance.
func certainlyMet(r loadgen.Result, target catalog.Target) bool {
	shift := pauseAllowance - r.SendDelay
	if exceeds(r.FirstToken+shift, target.FirstTokenMS) || exceeds(r.Whole+shift, target.WholeMS) {
		return false
	}
	late := lateGaps(r, target.InterTokenMS, deliveryAllowance)
	if target.InterTokenMS > 0 {
		late += gapAllowance - 1
	}
	return float64(late) <= lateShare*float64(len(r.Gaps))
}

// faultsByCount causes faults at fixed counts of results: one engine is slow from
// the start, another one crashes and returns, the ledger loses two answers, and
// the store stops and returns.
func faultsByCount(t *testing.T, site *demo.Site) func() {
	t.Helper()
	setFaults(t, site.Engines[0], standin.EngineFaults{SlowFactor: 20})
	n := 0
	return func() {
		n++
		var err error
		switch n {
		case 20:
			err = site.Ledger.SetFaults(standin.ServiceFaults{LoseAnswers: 2})
		case 40:
			err = site.Engines[1].SetFaults(standin.EngineFaults{Down: standin.DownClose})
		case 80:
			err = site.Engines[1].SetFaults(standin.EngineFaults{})
		case 100:
			err = site.Table.SetFaults(standin.TableFaults{Down: true})
		case 180:
			err = site.Table.SetFaults(standin.TableFaults{})
		case 220:
			err = site.Engines[0].SetFaults(standin.EngineFaults{})
		}
		if err != nil {
			t.Error(err)
		}
	}
}

// classesWithErrors is the demo's mix and requests for a model that nobody serves.
func classesWithErrors() []loadgen.Class {
	classes := demo.Classes()
	wrong := classes[1]
	wrong.Name = "wrong-model"
	wrong.Rate = loadgen.Rate{PerSecond: 3}
	wrong.Body = func(*rand.Rand, bool) []byte {
		return []byte(`{"model":"none","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	}
	return append(classes, wrong)
}

// burnReport reads the report as an operator does. An answer reaches its caller
// before the router records it, so the report is read until it is complete.
func burnReport(t *testing.T, site *demo.Site, sent int) burn.Section {
	t.Helper()
	var routers []admin.ClientOptions
	for _, r := range site.Routers {
		routers = append(routers, admin.ClientOptions{URL: "http://" + r.AdminAddress(), Key: demo.OperatorKey})
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		section := admin.CollectBurn(t.Context(), time.Now(), routers).Windows[0]
		n := 0
		for _, l := range section.Profiles {
			n += int(l.Requests)
		}
		if n >= sent || time.Now().After(deadline) {
			return section
		}
	}
}

// Guards against a burn report whose requests, refusals, executions or attainment
// differ from what callers saw, beyond what the definitions allow.
func TestBurnReportMatchesCallers(t *testing.T) {
	site := startSite(t)
	classes := classesWithErrors()
	counts := newCallerCounts(classes)
	faults := faultsByCount(t, site)
	load, err := loadgen.Run(t.Context(), loadgen.Options{
		Addresses: site.URLs(), Seed: 2, Duration: 8 * time.Second, Classes: classes,
		OnResult: func(r loadgen.Result) { counts.add(r); faults() },
	})
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	for _, c := range load.Classes {
		sent += c.Sent
		if c.Wrong > 0 || c.NotSent > 0 {
			t.Errorf("class %s: %d wrong, %d not sent", c.Name, c.Wrong, c.NotSent)
		}
	}
	section := burnReport(t, site, sent)
	if len(section.Profiles) != len(counts.profiles) {
		t.Errorf("%d profiles in the report, %d in the load", len(section.Profiles), len(counts.profiles))
	}
	for _, l := range section.Profiles {
		compareCounts(t, l, counts.profiles[l.Profile])
	}
}

func compareCounts(t *testing.T, l burn.Line, c *callerCount) {
	t.Helper()
	codes := map[resultcode.Code]int64{}
	for _, f := range l.Failures {
		codes[f.Code] = f.Count
	}
	if diff := cmp.Diff(c.codes, codes); diff != "" {
		t.Errorf("%s: codes at callers and in the report (-+):\n%s", l.Profile, diff)
	}
	got := []int{int(l.Requests), int(l.NotRun), int(l.Unknown), int(l.Met + l.Missed)}
	want := []int{c.sent, c.notRun, c.unknown, c.sent - c.excluded}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s: requests, not run, unknown, counted (-callers +report):\n%s", l.Profile, diff)
	}
	open := c.sent - c.excluded - c.met - c.missed
	t.Logf("%s: %d requests, report %d met %d missed; callers %d met %d missed, %d within the allowance; codes %v",
		l.Profile, c.sent, l.Met, l.Missed, c.met, c.missed, open, codes)
	if int(l.Met) < c.met || int(l.Missed) < c.missed {
		t.Errorf("%s: the report has %d met and %d missed; callers saw at least %d and %d",
			l.Profile, l.Met, l.Missed, c.met, c.missed)
		t.Logf("%s: missed at callers:\n%s", l.Profile, strings.Join(c.late, "\n"))
	}
}
