package invariants

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/claim"
	"github.com/pistachiowind/pistachiowind/agent/gate"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// agent drives the decisions of one agent as claim.Ledger and gate.Keeper do.
type agent struct {
	process
	index  int
	member *member

	memory *claim.NonceRegistry
	outbox *claim.Outbox
	// runs is the number of requests at the endpoint.
	runs int

	gate *gate.Gate
}

func newAgent(w *world, i int) *agent {
	a := &agent{process: process{w: w, skew: time.Duration(i) * 17 * time.Minute}, index: i}
	a.start()
	return a
}

func (a *agent) start() {
	a.incarnation++
	a.pausedUntil = time.Time{}
	a.runs = 0
	a.memory, a.outbox = claim.NewNonceRegistry(), claim.NewOutbox()
	a.gate = gate.New()
	a.member = newMember(&a.process, fmt.Sprint("agent", a.index))
}

func (a *agent) name() string { return fmt.Sprintf("agent%d/%d", a.index, a.incarnation) }

// request is one call of a caller; each attempt of it has a nonce.
type request struct {
	key    claim.Key
	digest []byte
	nonces []string
	told   resultcode.Execution
}

type claimOracle struct {
	requests []*request
	// runs has the nonces that an endpoint was given for each key.
	runs    map[claim.Key][]string
	digests map[claim.Key][]byte
	// answers has the true answer of each nonce that ran to its end at an agent.
	answers map[string]answer
	nonces  int
}

type answer struct {
	claim.Outcome
	record claim.Record
}

func (o *claimOracle) init() {
	o.runs = map[claim.Key][]string{}
	o.digests = map[claim.Key][]byte{}
	o.answers = map[string]answer{}
}

// charge sends a key, often one that was sent before, rarely with another body.
func (w *world) charge() {
	r := &request{
		key:    claim.Key{ClientAccount: "a", Service: "ledger", IdempotencyKey: fmt.Sprint(w.draw(3, "key"))},
		digest: []byte("body"),
	}
	if w.draw(10, "body") == 9 {
		r.digest = []byte("another body")
	}
	w.claims.requests = append(w.claims.requests, r)
	w.routers[w.draw(len(w.routers), "router")].attempt(r)
}

// attempt sends the request to an agent. Without an answer within 15 s the
// caller is told that the outcome is unknown.
func (r *router) attempt(q *request) {
	w := r.w
	a := w.agents[w.draw(len(w.agents), "agent")]
	w.claims.nonces++
	nonce := fmt.Sprint("n", w.claims.nonces)
	q.nonces = append(q.nonces, nonce)
	attempts := len(q.nonces)
	w.after(15*time.Second, func() {
		if q.told == "" && len(q.nonces) == attempts {
			q.told = resultcode.Unknown
		}
	})
	inbox := r.inbox()
	version := r.member.have()
	a.deliver(latency, func() {
		a.member.hear(version, r.member.name)
		a.claim(q, nonce, func(x resultcode.Execution, o *claim.Outcome) {
			if !w.healed && w.draw(8, "answer") == 7 {
				return
			}
			inbox(latency, func() { r.answered(q, nonce, x, o) })
		})
	})
}

func (r *router) answered(q *request, nonce string, x resultcode.Execution, o *claim.Outcome) {
	if q.told != "" || q.nonces[len(q.nonces)-1] != nonce {
		return
	}
	if x == resultcode.NotRun && len(q.nonces) < 3 && r.w.draw(2, "retry") == 1 {
		r.attempt(q)
		return
	}
	q.told = x
	reached["told "+string(x)]++
	if x == resultcode.Ran && o != nil {
		r.w.claims.checkAnswer(r.w, q, *o)
	}
}

// claim drives one claim.Claiming.
func (a *agent) claim(q *request, nonce string, reply func(resultcode.Execution, *claim.Outcome)) {
	if !a.memory.Begin(nonce) {
		a.w.t.Fatalf("nonce %s refused", nonce)
	}
	record := claim.Record{Key: q.key, Digest: q.digest, Agent: a.name(), Address: fmt.Sprint(a.index), Nonce: nonce}
	c := claim.NewClaiming(record, a.clock().Add(10*time.Second))
	var step func(claim.Event)
	step = func(e claim.Event) {
		action := c.Next(a.clock(), e)
		if action.Step == claim.StepDecide {
			a.decided(record, action.Decision, reply)
			return
		}
		a.perform(record, action, step)
	}
	step(claim.Event{})
}

func (a *agent) perform(r claim.Record, action claim.Action, step func(claim.Event)) {
	written := func(row storage.Row, err error) { step(claim.Event{Row: row, Err: err}) }
	switch action.Step {
	case claim.StepCreate, claim.StepTakeOver:
		if action.Step == claim.StepTakeOver {
			reached["key taken over"]++
		}
		a.put(r.RowKey(), action.Value, action.Expected, written)
	case claim.StepRead:
		a.get(r.RowKey(), written)
	case claim.StepAskOwner:
		a.ask(action.Owner, step)
	case claim.StepPause:
		a.deliver(action.Pause, func() { step(claim.Event{}) })
	case claim.StepFetchBody:
		body, ok := a.w.objects[action.Object]
		var err error
		if !ok {
			err = storage.ErrNotFound
		}
		a.deliver(latency, func() { step(claim.Event{Body: body, Err: err}) })
	}
}

// ask sends ClaimStatus to the process at the owner's address.
func (a *agent) ask(owner claim.Record, step func(claim.Event)) {
	answered := false
	answer := func(e claim.Event) {
		if !answered {
			answered = true
			step(e)
		}
	}
	a.deliver(time.Second, func() { answer(claim.Event{Err: errors.New("timeout")}) })
	inbox := a.inbox()
	target := a.w.agents[owner.Address[0]-'0']
	target.deliver(latency, func() {
		var e claim.Event
		if target.name() == owner.Agent {
			e.Status, e.Outcome = target.memory.Status(owner.Nonce)
		}
		inbox(latency, func() { answer(e) })
	})
}

func (a *agent) decided(r claim.Record, d claim.Decision, reply func(resultcode.Execution, *claim.Outcome)) {
	switch d.Kind {
	case claim.Refuse:
		a.w.claims.checkRefusal(a.w, r, d.Refusal)
		a.memory.Refused(r.Nonce)
		reply(d.Refusal.Verdict(), nil)
	case claim.Replay:
		reached["answer replayed"]++
		a.memory.Refused(r.Nonce)
		reply(resultcode.Ran, d.Outcome)
	case claim.Run:
		a.run(r, d.Revision, reply)
	}
}

// run gives the request to the endpoint, which may refuse it, crash or answer.
func (a *agent) run(r claim.Record, revision storage.Revision, reply func(resultcode.Execution, *claim.Outcome)) {
	w := a.w
	o := claim.Outcome{Execution: resultcode.Ran, Status: 200, Body: []byte("answer of " + r.Nonce)}
	switch w.draw(8, "endpoint") {
	case 5:
		o.Body = append(bytes.Repeat([]byte("."), claim.InlineBytes), o.Body...)
	case 6:
		o = claim.Outcome{Execution: resultcode.Unknown}
	case 7:
		o = claim.Outcome{Execution: resultcode.NotRun}
	}
	a.runs++
	if o.Execution != resultcode.NotRun {
		w.claims.started(w, r)
	}
	a.deliver(time.Duration(1+w.draw(4000, "run ms"))*time.Millisecond, func() {
		a.runs--
		if o.Execution == resultcode.Ran {
			w.claims.answers[r.Nonce] = answer{o, r}
		}
		a.memory.Finished(r.Nonce, o)
		r.Outcome = &o
		a.outbox.Add(a.clock(), r, revision)
		a.save()
		reply(o.Execution, &o)
	})
}

// save drives the outbox.
func (a *agent) save() {
	for _, s := range a.outbox.Next(a.clock()) {
		done := func(row storage.Row, err error) {
			if saved, ok := a.outbox.Result(a.clock(), s, row, err); ok {
				a.memory.Saved(saved.Nonce)
			}
			a.save()
		}
		switch s.Step {
		case claim.SaveObject:
			a.w.objects[s.Object] = s.Body
			a.deliver(latency, func() { done(storage.Row{}, nil) })
		case claim.SaveRow:
			a.put(s.RowKey, s.Value, s.Expected, done)
		case claim.SaveRead:
			a.get(s.RowKey, done)
		}
	}
	if wake, ok := a.outbox.NextDue(); ok {
		a.deliver(wake.Sub(a.clock()), a.save)
	}
}

// started records that an endpoint was given a request; a key runs at most once.
func (o *claimOracle) started(w *world, r claim.Record) {
	reached["key runs"]++
	o.digests[r.Key] = r.Digest
	o.runs[r.Key] = append(o.runs[r.Key], r.Nonce)
	if len(o.runs[r.Key]) > 1 {
		w.t.Fatalf("key %s ran as %v", r.IdempotencyKey, o.runs[r.Key])
	}
}

// checkRefusal verifies that a claim that could read the row of another attempt
// does not tell the caller that the request did not run.
func (o *claimOracle) checkRefusal(w *world, r claim.Record, refusal *resultcode.Error) {
	if refusal.Verdict() != resultcode.NotRun || len(o.runs[r.Key]) == 0 || !bytes.Equal(o.digests[r.Key], r.Digest) {
		return
	}
	if refusal.Code != resultcode.StoreUnavailable && refusal.Code != resultcode.DeadlineExceeded {
		w.t.Fatalf("attempt %s told not_run with %s, key %s ran as %v", r.Nonce, refusal.Code, r.IdempotencyKey, o.runs[r.Key])
	}
}

// checkAnswer compares an answer with status ran with the true one of its key.
func (o *claimOracle) checkAnswer(w *world, q *request, got claim.Outcome) {
	runs := o.runs[q.key]
	if len(runs) != 1 || !bytes.Equal(o.digests[q.key], q.digest) {
		w.t.Fatalf("key %s answered as ran, runs %v", q.key.IdempotencyKey, runs)
	}
	want, ok := o.answers[runs[0]]
	if !ok || got.Status != want.Status || !bytes.Equal(got.Body, want.Body) {
		w.t.Fatalf("key %s answered with %.40q, true answer %.40q", q.key.IdempotencyKey, got.Body, want.Body)
	}
}

// checkEnd compares each not_run with the endpoints' log after all late effects,
// and verifies that each answer of an agent that still runs has been recorded.
func (o *claimOracle) checkEnd(w *world) {
	for _, q := range o.requests {
		if q.told != resultcode.NotRun {
			continue
		}
		for _, nonce := range q.nonces {
			if slices.Contains(o.runs[q.key], nonce) {
				w.t.Fatalf("request of key %s told not_run, attempt %s ran", q.key.IdempotencyKey, nonce)
			}
		}
	}
	for nonce, want := range o.answers {
		if want.record.Agent != w.agents[want.record.Address[0]-'0'].name() {
			continue
		}
		row, err := w.table.get(want.record.RowKey())
		if err != nil {
			w.t.Fatal(err)
		}
		got, err := claim.DecodeRecord(row.Value)
		if err != nil || got.Nonce != nonce || got.State != claim.RecordDone {
			w.t.Fatalf("answer of %s not recorded: %+v %v", nonce, got, err)
		}
	}
	for _, a := range w.agents {
		if a.outbox.Len() > 0 {
			w.t.Fatalf("%s has %d unsaved outcomes after the faults ended", a.name(), a.outbox.Len())
		}
	}
}
