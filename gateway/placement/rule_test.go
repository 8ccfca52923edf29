package placement

import (
	"math/rand/v2"
	"testing"
)

// Guards against a baseline measurement that silently uses the default rule.
func TestBaselinesChooseByTheirOwnRule(t *testing.T) {
	for _, c := range []struct {
		rule Rule
		// least and most bound the number of 120 requests that one of 4 endpoints gets
		// while all requests share a prompt and none ends.
		least, most int
	}{
		{Cheapest, 0, 120},
		{FewestInFlight, 30, 30},
		{Random, 15, 45},
	} {
		f := newPool(4)
		f.SetRule(c.rule, rand.New(rand.NewPCG(1, 2)))
		counts := make(map[string]int)
		for range 120 {
			w := chatWork()
			choice, ok := f.Choose(start, w)
			if !ok {
				t.Fatal("no endpoint")
			}
			f.Send(start, w, choice)
			counts[choice.Endpoint.ID]++
		}
		for id, n := range counts {
			if n < c.least || n > c.most {
				t.Errorf("%s: %d requests at %s, want %d to %d", c.rule, n, id, c.least, c.most)
			}
		}
	}
}
