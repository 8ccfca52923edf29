package outcome

import "testing"

// Guards against sending a non-idempotent request twice, against reporting "not
// run" for a request that may have run, and against more attempts than the route
// allows.
func TestDecide(t *testing.T) {
	base := State{MaxAttempts: 2, MaxUnsentAttempts: 3, RetryAllowed: true}
	with := func(change func(*State)) State {
		s := base
		change(&s)
		return s
	}
	cases := []struct {
		name  string
		kind  Kind
		state State
		want  Action
	}{
		{"success", Succeeded, base, Deliver},
		{"not sent, another endpoint", NotSent, base, Retry},
		{"not sent, too many tries", NotSent, with(func(s *State) { s.UnsentAttempts = 3 }), Refuse},
		{"not run, attempts left", NotRun, with(func(s *State) { s.SentAttempts = 1 }), Retry},
		{"not run, no attempts left", NotRun, with(func(s *State) { s.SentAttempts = 2 }), Refuse},
		{"not run, no time", NotRun, with(func(s *State) { s.RetryAllowed = false }), Refuse},
		{"charge without answer", Unknown, with(func(s *State) { s.SentAttempts, s.MayHaveRun = 1, true }), ReportUnknown},
		{"read without answer", Unknown, with(func(s *State) { s.SentAttempts, s.MayHaveRun, s.Repeatable = 1, true, true }), Retry},
		{"read without answer, no attempts left", Unknown, with(func(s *State) { s.SentAttempts, s.MayHaveRun, s.Repeatable = 2, true, true }), ReportUnknown},
		{"charge failed at the endpoint", Failed, with(func(s *State) { s.SentAttempts, s.MayHaveRun = 1, true }), Deliver},
		{"read failed, attempts left", Failed, with(func(s *State) { s.SentAttempts, s.MayHaveRun, s.Repeatable = 1, true, true }), Retry},
		{"read ran once, then refused", NotRun, with(func(s *State) { s.SentAttempts, s.MayHaveRun, s.Repeatable = 2, true, true }), ReportUnknown},
		{"read ran once, then unreachable, no time", NotSent, with(func(s *State) { s.MayHaveRun, s.Repeatable, s.RetryAllowed = true, true, false }), ReportUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Decide(c.kind, c.state); got != c.want {
				t.Fatalf("action %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a status that tells a caller that a request did not run although
// it may have run.
func TestPromises(t *testing.T) {
	for status, want := range map[int]bool{408: true, 421: true, 429: true, 503: true, 500: false, 502: false, 504: false, 404: false} {
		if ImpliesNotRun(status) != want {
			t.Errorf("status %d: %v, want %v", status, !want, want)
		}
	}
}
