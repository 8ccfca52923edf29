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

// The load generator measures at the caller, from the scheduled time of a request;
// the router measures from receipt to its own writes. The times of one request
// therefore differ by the send delay, which is known, and by the delivery between the
// two, for which the following constants allow.
const (
	// deliveryAllowance is the time by which a chunk may reach the caller earlier or
	// later, relative to the previous chunk.
	deliveryAllowance = 20 * time.Millisecond
	// pauseAllowance covers a pause of the process in which the site and the load
	// generator run.
	pauseAllowance = 200 * time.Millisecond
	// gapAllowance is the number of times between tokens of one request that may
	// differ by more than deliveryAllowance: one because of a pause, and one because
	// of the last chunk, which has a finish reason and no text and counts as a token
	// for the router only.
	gapAllowance = 2
)

// callerCounter counts what the callers of one profile observed.
type callerCounter struct {
	sent, notRun, unknown, excluded int
	codes                           map[resultcode.Code]int64
	// met and missed count the requests for which caller and router must agree
	// whether the target was met.
	met, missed int
	// missedRequests describes the requests that missed their target according to
	// their callers.
	missedRequests []string
}

// callerCounters counts results by profile.
type callerCounters struct {
	targetByClass  map[string]catalog.Target
	profileByClass map[string]string
	byProfile      map[string]*callerCounter
}

func newCallerCounters(classes []loadgen.Class) *callerCounters {
	c := &callerCounters{
		targetByClass: map[string]catalog.Target{}, profileByClass: map[string]string{}, byProfile: map[string]*callerCounter{},
	}
	for _, class := range classes {
		c.targetByClass[class.Name], c.profileByClass[class.Name] = class.Target, class.Profile
		c.byProfile[class.Profile] = &callerCounter{codes: map[resultcode.Code]int64{}}
	}
	return c
}

func (c *callerCounters) add(r loadgen.Result) {
	p := c.byProfile[c.profileByClass[r.Sent.Class]]
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
	switch target := c.targetByClass[r.Sent.Class]; {
	case r.Code/1000 == 1:
		p.excluded++
	case r.Outcome != loadgen.Whole || certainlyMissed(r, target):
		p.missed++
		p.missedRequests = append(p.missedRequests, fmt.Sprintf("outcome %v, code %d, sent %v late, first token %v, whole %v", r.Outcome, r.Code, r.SendDelay, r.FirstToken, r.TotalTime))
	case certainlyMet(r, target):
		p.met++
	}
}

func exceeds(d time.Duration, targetMS int) bool {
	return targetMS > 0 && d > time.Duration(targetMS)*time.Millisecond
}

// countLateGaps returns the number of times between tokens that exceed the target
// after adding shift.
func countLateGaps(r loadgen.Result, targetMS int, shift time.Duration) int {
	late := 0
	for _, gap := range r.Gaps {
		if exceeds(gap+shift, targetMS) {
			late++
		}
	}
	return late
}

// lateTokenShare is the share of times between tokens that may exceed the target.
const lateTokenShare = 0.05

// certainlyMissed reports whether the request missed its target even after all
// allowances are subtracted from the caller's times.
func certainlyMissed(r loadgen.Result, target catalog.Target) bool {
	shift := r.SendDelay + pauseAllowance
	if exceeds(r.FirstToken-shift, target.FirstTokenMS) || exceeds(r.TotalTime-shift, target.WholeMS) {
		return true
	}
	late := countLateGaps(r, target.InterTokenMS, -deliveryAllowance) - gapAllowance
	return float64(late) > lateTokenShare*float64(len(r.Gaps)+1)
}

// certainlyMet reports whether the request met its target even if the router measured
// each time longer by the allowance.
func certainlyMet(r loadgen.Result, target catalog.Target) bool {
	shift := pauseAllowance - r.SendDelay
	if exceeds(r.FirstToken+shift, target.FirstTokenMS) || exceeds(r.TotalTime+shift, target.WholeMS) {
		return false
	}
	late := countLateGaps(r, target.InterTokenMS, deliveryAllowance)
	if target.InterTokenMS > 0 {
		late += gapAllowance - 1
	}
	return float64(late) <= lateTokenShare*float64(len(r.Gaps))
}

// faultSchedule returns a function to call for each result. It injects faults at fixed
// numbers of results: one engine is slow from the start, another one crashes and
// recovers, the ledger loses two responses, and the store goes down and recovers.
func faultSchedule(t *testing.T, site *demo.Site) func() {
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

// classesWithErrors returns the demo's classes and one of requests for a model that no
// endpoint serves.
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

// burnReport reads the burn report through the operators' interface. A response
// reaches its caller before the router records it, so the report is read again until
// it covers all sent requests.
func burnReport(t *testing.T, site *demo.Site, sent int) burn.WindowReport {
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
// differ from what callers observed, beyond what the definitions of the two
// measurements allow.
func TestBurnReportMatchesCallers(t *testing.T) {
	site := startSite(t)
	classes := classesWithErrors()
	counts := newCallerCounters(classes)
	faults := faultSchedule(t, site)
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
	if len(section.Profiles) != len(counts.byProfile) {
		t.Errorf("%d profiles in the report, %d in the load", len(section.Profiles), len(counts.byProfile))
	}
	for _, l := range section.Profiles {
		compareCounts(t, l, counts.byProfile[l.Profile])
	}
}

func compareCounts(t *testing.T, l burn.ServiceLevel, c *callerCounter) {
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
	undecided := c.sent - c.excluded - c.met - c.missed
	t.Logf("%s: %d requests, report %d met %d missed; callers %d met %d missed, %d within the allowance; codes %v",
		l.Profile, c.sent, l.Met, l.Missed, c.met, c.missed, undecided, codes)
	if int(l.Met) < c.met || int(l.Missed) < c.missed {
		t.Errorf("%s: the report has %d met and %d missed; callers saw at least %d and %d",
			l.Profile, l.Met, l.Missed, c.met, c.missed)
		t.Logf("%s: missed at callers:\n%s", l.Profile, strings.Join(c.missedRequests, "\n"))
	}
}
