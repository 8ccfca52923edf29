package measure_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiowind/pistachiowind/measure"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// learned is the policy that the agent uses.
func learned(t *testing.T) measure.Policy {
	t.Helper()
	for _, p := range measure.Policies() {
		if p.Name == "learned" {
			return p
		}
	}
	t.Fatal("no such policy")
	return measure.Policy{}
}

// attainment is the least part of the urgent requests, in percent, that must
// meet their targets in the scenarios without an excess of urgent work.
var attainment = map[string]float64{"steady": 95, "standard burst x6": 95, "history burst x10": 93}

// Guards against requests that never end, a class that is not served, urgent
// work that gives way to other work, and tokens slower than the target, when
// the decisions work together.
func TestScenarios(t *testing.T) {
	for _, s := range measure.Scenarios() {
		r := measure.Run(s, learned(t))
		for _, c := range r.Classes {
			if c.Completed+c.NotServed() != c.Arrived {
				t.Errorf("%s: %s: %d arrived, %d completed, %d refused", s.Name, c.Name, c.Arrived, c.Completed, c.NotServed())
			}
			if c.Completed == 0 {
				t.Errorf("%s: %s is not served", s.Name, c.Name)
			}
		}
		urgent := r.Classes[0]
		if n := urgent.Refused[resultcode.Displaced] + urgent.Refused[resultcode.QueueDelayTooHigh]; n > 0 {
			t.Errorf("%s: %d urgent requests gave way", s.Name, n)
		}
		if urgent.Attainment() < attainment[s.Name] {
			t.Errorf("%s: %.1f%% of the urgent requests met their targets", s.Name, urgent.Attainment())
		}
		if 20*r.Late > r.Tokens {
			t.Errorf("%s: %d of %d tokens late", s.Name, r.Late, r.Tokens)
		}
	}
}

// Guards against a result that depends on the order of a map or on the clock.
func TestRunIsRepeatable(t *testing.T) {
	s := measure.Scenarios()[3]
	first, second := measure.Run(s, learned(t)), measure.Run(s, learned(t))
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("two runs differ:\n%s", diff)
	}
}

// Reports the comparison of the policies in docs/policy.md.
func BenchmarkPolicies(b *testing.B) {
	for _, s := range measure.Scenarios() {
		for _, p := range measure.Policies() {
			b.Run(s.Name+"/"+p.Name, func(b *testing.B) {
				var r measure.Result
				for b.Loop() {
					r = measure.Run(s, p)
				}
				report(b, r)
			})
		}
	}
}

func report(b *testing.B, r measure.Result) {
	for _, c := range r.Classes {
		b.ReportMetric(c.Attainment(), "met%-"+c.Name)
		b.ReportMetric(measure.Percentile(c.FirstToken, 95).Seconds(), "p95s-"+c.Name)
		b.ReportMetric(float64(c.NotServed()), "refused-"+c.Name)
	}
	b.ReportMetric(100*float64(r.Late)/float64(r.Tokens), "late%")
	b.ReportMetric(float64(r.Goodput), "goodput")
	b.ReportMetric(float64(r.Preemptions), "preempted")
	b.ReportMetric(float64(r.Reread), "reread")
	b.ReportMetric(float64(r.LowLimit), "limit-low")
	b.ReportMetric(float64(r.HighLimit), "limit-high")
}
