package site

import "time"

// fullUse computes the output of the engines at full use, the reference for
// goodput. Work is served second by second at the full rate, urgent classes first,
// and work that waits longer than the first-token target of its class is lost.
// Slowed and crashed endpoints contribute less.
type fullUse struct {
	scenario *Scenario
	rate     engineRate
	// work is the demanded engine time, in generated tokens, and tokens the
	// demanded output, both by class and second of arrival.
	work   [][]float64
	tokens [][]float64
}

func newFullUse(w *Workload, sc *Scenario, all []arrival) *fullUse {
	u := &fullUse{scenario: sc, rate: engineRateOf(sc.Engine)}
	index := make(map[string]int)
	for i := range w.Classes {
		index[w.Classes[i].Name] = i
		u.work = append(u.work, make([]float64, int(sc.Length.Seconds())+1))
		u.tokens = append(u.tokens, make([]float64, int(sc.Length.Seconds())+1))
	}
	for i := range all {
		a := &all[i]
		if a.crash {
			continue
		}
		at := int(a.at.Seconds())
		k := index[a.class.Name]
		u.tokens[k][at] += float64(a.output)
		u.work[k][at] += float64(a.output) + u.rate.tokensPerSecond*float64(a.class.Prompt)/u.rate.promptRate
	}
	return u
}

// capacity returns the work that the endpoints do in the given second.
func (u *fullUse) capacity(at int) float64 {
	offset := time.Duration(at) * time.Second
	sc := u.scenario
	endpoints := float64(sc.Endpoints)
	if offset >= sc.SlowFrom && offset < sc.SlowTo {
		endpoints -= slowedCount * (1 - 1.0/slowFactor)
	}
	if sc.CrashAt > 0 && offset >= sc.CrashAt && offset < sc.CrashAt+endpointRestartTime {
		endpoints--
	}
	return endpoints * u.rate.tokensPerSecond
}

// totalTokens returns the number of tokens generated at full use.
func (u *fullUse) totalTokens(w *Workload) float64 {
	sum := 0.0
	backlog := make([]float64, len(w.Classes))
	served := make([]float64, len(w.Classes))
	fullRate := float64(u.scenario.Endpoints) * u.rate.tokensPerSecond
	drain := int(time.Minute.Seconds())
	for at := range int(u.scenario.Length.Seconds()) + drain {
		remaining := u.capacity(at)
		for k := range w.Classes {
			if at < len(u.work[k]) {
				backlog[k] += u.work[k][at]
			}
			done := min(backlog[k], remaining)
			remaining -= done
			served[k] += done
			backlog[k] = min(backlog[k]-done, fullRate*w.Classes[k].FirstToken.Seconds())
		}
	}
	for k := range w.Classes {
		sum += served[k] * ratioOfSums(u.tokens[k], u.work[k])
	}
	return sum
}

// ratioOfSums returns the sum of part divided by the sum of whole.
func ratioOfSums(part, whole []float64) float64 {
	a, b := 0.0, 0.0
	for i := range part {
		a += part[i]
		b += whole[i]
	}
	return a / max(b, 1)
}
