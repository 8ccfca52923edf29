package measure_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiowind/pistachiowind/measure"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// learnedPolicy returns the policy that the agent uses.
func learnedPolicy(t *testing.T) measure.Policy {
	t.Helper()
	for _, p := range measure.Policies() {
		if p.Name == "learned" {
			return p
		}
	}
	t.Fatal("no such policy")
	return measure.Policy{}
}

// minUrgentAttainment is the percentage of urgent requests that must meet their
// targets, by scenario. Scenarios with an excess of urgent work have no entry.
var minUrgentAttainment = map[string]float64{"steady": 95, "standard burst x6": 95, "history burst x10": 93}

// Guards against requests that never end, a class that is not served, urgent
// requests displaced or refused in favour of others, and tokens slower than the
// target, when all scheduling decisions act together.
func TestScenarios(t *testing.T) {
	for _, s := range measure.Scenarios() {
		r := measure.Run(s, learnedPolicy(t))
		for _, c := range r.Classes {
			if c.Completed+c.RefusedCount() != c.Arrived {
				t.Errorf("%s: %s: %d arrived, %d completed, %d refused", s.Name, c.Name, c.Arrived, c.Completed, c.RefusedCount())
			}
			if c.Completed == 0 {
				t.Errorf("%s: %s is not served", s.Name, c.Name)
			}
		}
		urgent := r.Classes[0]
		if n := urgent.Refused[resultcode.Displaced] + urgent.Refused[resultcode.QueueDelayTooHigh]; n > 0 {
			t.Errorf("%s: %d urgent requests displaced or refused for queue delay", s.Name, n)
		}
		if urgent.Attainment() < minUrgentAttainment[s.Name] {
			t.Errorf("%s: %.1f%% of the urgent requests met their targets", s.Name, urgent.Attainment())
		}
		if 20*r.LateTokens > r.Tokens {
			t.Errorf("%s: %d of %d tokens late", s.Name, r.LateTokens, r.Tokens)
		}
	}
}

// Guards against a result that depends on map iteration order or on the wall
// clock.
func TestRunIsRepeatable(t *testing.T) {
	s := measure.Scenarios()[3]
	first, second := measure.Run(s, learnedPolicy(t)), measure.Run(s, learnedPolicy(t))
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("two runs differ:\n%s", diff)
	}
}

// BenchmarkPolicies simulates each scenario under each policy and reports the
// figures of the policy comparison in docs/policy.md.
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
		b.ReportMetric(float64(c.RefusedCount()), "refused-"+c.Name)
	}
	b.ReportMetric(100*float64(r.LateTokens)/float64(r.Tokens), "late%")
	b.ReportMetric(float64(r.Goodput), "goodput")
	b.ReportMetric(float64(r.Preemptions), "preempted")
	b.ReportMetric(float64(r.ReprocessedTokens), "reread")
	b.ReportMetric(float64(r.MinLimit), "limit-low")
	b.ReportMetric(float64(r.MaxLimit), "limit-high")
}
