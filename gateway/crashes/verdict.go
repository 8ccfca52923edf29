package crashes

import (
	"slices"
	"time"
)

const (
	// maxTrials bounds the trials of a condemned suspect. The platform allows three more
	// requests after the fifth crash; one of them is left for a request that was on its
	// way.
	maxTrials = 2
	// trialRefusals is the number of refused requests, of all gateways, after which a
	// condemned suspect is first tried again: about as many requests as a crash breaks.
	// Each further trial takes trialGrowth times as many.
	trialRefusals = 20
	trialGrowth   = 4
	// minTrialPause is the least time from the last crash or trial to the next trial, in
	// which a request begins and gateways hear of its end.
	minTrialPause = 3 * time.Second
)

// trial is the state of the trials of a condemned suspect.
type trial struct {
	// count is the number of trials, of all gateways, since it was condemned.
	count int
	// at is when the last one of this gateway began.
	at time.Time
	// refused is the number of requests that this gateway refused since then.
	refused int
}

// Verdict states whether a request may be sent.
type Verdict struct {
	// Refused is true if the request must not be sent. Suspect is the one at fault, and
	// Rounds the number of its rounds of crashes.
	Refused bool
	Suspect Suspect
	Rounds  int
	// Trial is true if the request may be sent only as the trial of Suspect; see BeginTrial.
	Trial bool
	// Pause, if not zero, is how long the request must wait before it is checked again.
	Pause time.Duration
}

// Check returns the verdict on a request with the given suspects. Gateways is the number of
// gateways that share the trials, and mayTry reports whether this one tries a suspect.
func (t *Table) Check(now time.Time, suspects []Suspect, gateways int, mayTry func(Suspect) bool) Verdict {
	if pause := t.pause(now, suspects); pause > 0 {
		return Verdict{Pause: pause}
	}
	if t.standing.Len() == 0 {
		return Verdict{}
	}
	var verdict Verdict
	condemned := 0
	for _, s := range suspects {
		r, ok := t.standing.Get(s)
		if !ok || !r.condemned() {
			continue
		}
		condemned++
		if !verdict.Refused && !t.explainedByOther(r, suspects) {
			verdict = Verdict{Refused: true, Suspect: s, Rounds: r.rounds()}
		}
	}
	if !verdict.Refused {
		return Verdict{}
	}
	r := t.record(verdict.Suspect)
	// A trial with two condemned suspects would not show which of them is at fault.
	if condemned == 1 && r.trialDue(now, gateways) && mayTry(verdict.Suspect) {
		verdict.Refused, verdict.Trial = false, true
		return verdict
	}
	r.trial.refused++
	return verdict
}

// pause returns how long a request must wait for its own crashes. It does not wait for those of
// its parts, which innocent requests share.
func (t *Table) pause(now time.Time, suspects []Suspect) time.Duration {
	var longest time.Duration
	for _, s := range suspects {
		if r := t.record(s); !s.IsPart && r != nil && !r.condemned() {
			longest = max(longest, r.pause(now))
		}
	}
	return longest
}

// explainedByOther reports whether a condemned suspect outside of the request stood in all
// the crashes of r. It may be at fault instead; requests with only one of the two show
// which one is.
func (t *Table) explainedByOther(r *record, request []Suspect) bool {
	explained := false
	t.eachStanding(func(s Suspect, other *record) {
		if other != r && other.condemned() && !slices.Contains(request, s) && other.covers(r) {
			explained = true
		}
	})
	return explained
}

// trialDue reports whether a condemned suspect may be tried again.
func (r *record) trialDue(now time.Time, gateways int) bool {
	if r.trial.count >= maxTrials || now.Sub(r.lastAt()) < minTrialPause || now.Sub(r.trial.at) < minTrialPause {
		return false
	}
	needed := trialRefusals
	for range r.trial.count {
		needed *= trialGrowth
	}
	return (r.trial.refused+1)*max(gateways, 1) >= needed
}

// BeginTrial records that a request is sent as the trial of a suspect. A crash keeps the
// suspect condemned, and an answer clears it.
func (t *Table) BeginTrial(now time.Time, s Suspect) {
	if r := t.record(s); r != nil {
		r.trial = trial{count: r.trial.count + 1, at: now}
		t.setUnstored(s)
		t.urgent = true
	}
}

// CancelTrial takes back a trial whose request did not run.
func (t *Table) CancelTrial(s Suspect) {
	if r := t.record(s); r != nil {
		r.trial.count = max(r.trial.count-1, 0)
	}
}

// RecordTrials records the number of trials of a suspect that a peer stated.
func (t *Table) RecordTrials(now time.Time, s Suspect, count int) {
	if r := t.record(s); r != nil && count > r.trial.count {
		r.trial = trial{count: count, at: now}
	}
}
