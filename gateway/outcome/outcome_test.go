package outcome

import "testing"

// Guards against a repeated charge, a refusal that is not true, and a retry
// beyond the route's attempts.
func TestDecide(t *testing.T) {
	room := State{MaxAttempts: 2, MaxUnsent: 3, TimeLeft: true}
	with := func(change func(*State)) State {
		s := room
		change(&s)
		return s
	}
	cases := []struct {
		name  string
		kind  Kind
		state State
		want  Action
	}{
		{"success", Succeeded, room, Deliver},
		{"not sent, another endpoint", NotSent, room, Retry},
		{"not sent, too many tries", NotSent, with(func(s *State) { s.Unsent = 3 }), Refuse},
		{"not run, attempts left", NotRun, with(func(s *State) { s.Sent = 1 }), Retry},
		{"not run, no attempts left", NotRun, with(func(s *State) { s.Sent = 2 }), Refuse},
		{"not run, no time", NotRun, with(func(s *State) { s.TimeLeft = false }), Refuse},
		{"charge without answer", Unknown, with(func(s *State) { s.Sent, s.MayHaveRun = 1, true }), GiveUp},
		{"read without answer", Unknown, with(func(s *State) { s.Sent, s.MayHaveRun, s.Repeatable = 1, true, true }), Retry},
		{"read without answer, no attempts left", Unknown, with(func(s *State) { s.Sent, s.MayHaveRun, s.Repeatable = 2, true, true }), GiveUp},
		{"charge failed at the endpoint", Failed, with(func(s *State) { s.Sent, s.MayHaveRun = 1, true }), Deliver},
		{"read failed, attempts left", Failed, with(func(s *State) { s.Sent, s.MayHaveRun, s.Repeatable = 1, true, true }), Retry},
		{"read ran once, then refused", NotRun, with(func(s *State) { s.Sent, s.MayHaveRun, s.Repeatable = 2, true, true }), GiveUp},
		{"read ran once, then unreachable, no time", NotSent, with(func(s *State) { s.MayHaveRun, s.Repeatable, s.TimeLeft = true, true, false }), GiveUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Decide(c.kind, c.state); got != c.want {
				t.Fatalf("action %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a status that tells a caller "not run" for a request that ran.
func TestPromises(t *testing.T) {
	for status, want := range map[int]bool{408: true, 421: true, 429: true, 503: true, 500: false, 502: false, 504: false, 404: false} {
		if PromisesNotRun(status) != want {
			t.Errorf("status %d: %v, want %v", status, !want, want)
		}
	}
}
