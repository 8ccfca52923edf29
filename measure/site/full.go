package site

import "time"

// fullUse is what the engines give at full use, for the measure of goodput: work
// is served second by second at full rate, urgent classes first, and what waits
// longer than the first-token target of its class is lost. Slowed and crashed
// endpoints give less.
type fullUse struct {
	scenario *Scenario
	rate     engineRate
	// asked and tokens are by class and second of arrival.
	asked  [][]float64
	tokens [][]float64
}

func newFullUse(w *Workload, sc *Scenario, all []arrival) *fullUse {
	u := &fullUse{scenario: sc, rate: rateOf(sc.Engine)}
	index := make(map[string]int)
	for i := range w.Classes {
		index[w.Classes[i].Name] = i
		u.asked = append(u.asked, make([]float64, int(sc.Length.Seconds())+1))
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
		u.asked[k][at] += float64(a.output) + u.rate.tokensPerSecond*float64(a.class.Prompt)/u.rate.promptRate
	}
	return u
}

// capacity is the work that the endpoints do in one second.
func (u *fullUse) capacity(at int) float64 {
	offset := time.Duration(at) * time.Second
	sc := u.scenario
	left := float64(sc.Endpoints)
	if offset >= sc.SlowFrom && offset < sc.SlowTo {
		left -= slowedCount * (1 - 1.0/slowFactor)
	}
	if sc.CrashAt > 0 && offset >= sc.CrashAt && offset < sc.CrashAt+restartTime {
		left--
	}
	return left * u.rate.tokensPerSecond
}

// total returns the tokens that full use gives.
func (u *fullUse) total(w *Workload) float64 {
	sum := 0.0
	backlog := make([]float64, len(w.Classes))
	served := make([]float64, len(w.Classes))
	whole := float64(u.scenario.Endpoints) * u.rate.tokensPerSecond
	drain := int(time.Minute.Seconds())
	for at := range int(u.scenario.Length.Seconds()) + drain {
		left := u.capacity(at)
		for k := range w.Classes {
			if at < len(u.asked[k]) {
				backlog[k] += u.asked[k][at]
			}
			done := min(backlog[k], left)
			left -= done
			served[k] += done
			backlog[k] = min(backlog[k]-done, whole*w.Classes[k].FirstToken.Seconds())
		}
	}
	for k := range w.Classes {
		sum += served[k] * share(u.tokens[k], u.asked[k])
	}
	return sum
}

// share returns the sum of part over the sum of whole.
func share(part, whole []float64) float64 {
	a, b := 0.0, 0.0
	for i := range part {
		a += part[i]
		b += whole[i]
	}
	return a / max(b, 1)
}
