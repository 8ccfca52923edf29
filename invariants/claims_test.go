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

// agent runs the decision code of one agent in the same way as claim.Ledger and
// gate.OrderServer.
type agent struct {
	process
	index  int
	member *catalogMember

	nonces *claim.NonceRegistry
	outbox *claim.Outbox
	// running is the number of requests that run at the endpoint.
	running int

	gate *gate.Gate
}

func newAgent(sim *simulation, i int) *agent {
	a := &agent{process: process{sim: sim, skew: time.Duration(i) * 17 * time.Minute}, index: i}
	a.start()
	return a
}

func (a *agent) start() {
	a.incarnation++
	a.pausedUntil = time.Time{}
	a.running = 0
	a.nonces, a.outbox = claim.NewNonceRegistry(), claim.NewOutbox()
	a.gate = gate.New()
	a.member = newCatalogMember(&a.process, fmt.Sprint("agent", a.index))
}

func (a *agent) name() string { return fmt.Sprintf("agent%d/%d", a.index, a.incarnation) }

// call is one request of a caller; each attempt of it has its own nonce.
type call struct {
	key      claim.Key
	digest   []byte
	nonces   []string
	reported resultcode.Execution
}

// claimOracle checks the outcomes reported to callers against the runs at the endpoints.
type claimOracle struct {
	requests []*call
	// runs lists for each key the nonces of the attempts that an endpoint received and
	// may have run.
	runs    map[claim.Key][]string
	digests map[claim.Key][]byte
	// answers has the actual answer of each attempt that ran to completion, by nonce.
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

// sendCharge sends a charge with one of three idempotency keys, so that keys are often
// reused, sometimes with another body.
func (sim *simulation) sendCharge() {
	r := &call{
		key:    claim.Key{ClientAccount: "a", Service: "ledger", IdempotencyKey: fmt.Sprint(sim.draw(3, "key"))},
		digest: []byte("body"),
	}
	if sim.draw(10, "body") == 9 {
		r.digest = []byte("another body")
	}
	sim.claims.requests = append(sim.claims.requests, r)
	sim.routers[sim.draw(len(sim.routers), "router")].attempt(r)
}

// attempt sends the request to an agent. Without a response within 15 s the outcome is
// reported to the caller as unknown.
func (r *router) attempt(q *call) {
	sim := r.sim
	a := sim.agents[sim.draw(len(sim.agents), "agent")]
	sim.claims.nonces++
	nonce := fmt.Sprint("n", sim.claims.nonces)
	q.nonces = append(q.nonces, nonce)
	attempts := len(q.nonces)
	sim.after(15*time.Second, func() {
		if q.reported == "" && len(q.nonces) == attempts {
			q.reported = resultcode.Unknown
		}
	})
	inbox := r.inbox()
	version := r.member.have()
	a.deliver(callLatency, func() {
		a.member.receiveVersion(version, r.member.name)
		a.claim(q, nonce, func(x resultcode.Execution, o *claim.Outcome) {
			if !sim.faultsEnded && sim.draw(8, "answer") == 7 {
				return
			}
			inbox(callLatency, func() { r.answered(q, nonce, x, o) })
		})
	})
}

func (r *router) answered(q *call, nonce string, x resultcode.Execution, o *claim.Outcome) {
	if q.reported != "" || q.nonces[len(q.nonces)-1] != nonce {
		return
	}
	if x == resultcode.NotRun && len(q.nonces) < 3 && r.sim.draw(2, "retry") == 1 {
		r.attempt(q)
		return
	}
	q.reported = x
	situationCounts["reported "+string(x)]++
	if x == resultcode.Ran && o != nil {
		r.sim.claims.checkAnswer(r.sim, q, *o)
	}
}

// claim runs one claim.Claiming to its decision.
func (a *agent) claim(q *call, nonce string, reply func(resultcode.Execution, *claim.Outcome)) {
	if !a.nonces.Begin(nonce) {
		a.sim.t.Fatalf("attempt with the new nonce %s refused", nonce)
	}
	record := claim.Record{Key: q.key, Digest: q.digest, Agent: a.name(), Address: fmt.Sprint(a.index), Nonce: nonce}
	c := claim.NewClaiming(record, a.clock().Add(10*time.Second))
	var step func(claim.Event)
	step = func(e claim.Event) {
		action := c.Next(a.clock(), e)
		if action.Step == claim.StepDecide {
			a.applyDecision(record, action.Decision, reply)
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
			situationCounts["key taken over"]++
		}
		a.put(r.RowKey(), action.Value, action.Expected, written)
	case claim.StepRead:
		a.get(r.RowKey(), written)
	case claim.StepAskOwner:
		a.askOwner(action.Owner, step)
	case claim.StepPause:
		a.deliver(action.Pause, func() { step(claim.Event{}) })
	case claim.StepFetchBody:
		body, ok := a.sim.objects[action.Object]
		var err error
		if !ok {
			err = storage.ErrNotFound
		}
		a.deliver(callLatency, func() { step(claim.Event{Body: body, Err: err}) })
	}
}

// askOwner sends a ClaimStatus call to the process at the owner's address, which may be a
// later incarnation than the owner.
func (a *agent) askOwner(owner claim.Record, step func(claim.Event)) {
	answered := false
	answer := func(e claim.Event) {
		if !answered {
			answered = true
			step(e)
		}
	}
	a.deliver(time.Second, func() { answer(claim.Event{Err: errors.New("timeout")}) })
	inbox := a.inbox()
	target := a.sim.agents[owner.Address[0]-'0']
	target.deliver(callLatency, func() {
		var e claim.Event
		if target.name() == owner.Agent {
			e.Status, e.Outcome = target.nonces.Status(owner.Nonce)
		}
		inbox(callLatency, func() { answer(e) })
	})
}

func (a *agent) applyDecision(r claim.Record, d claim.Decision, reply func(resultcode.Execution, *claim.Outcome)) {
	switch d.Kind {
	case claim.Refuse:
		a.sim.claims.checkRefusal(a.sim, r, d.Refusal)
		a.nonces.Refused(r.Nonce)
		reply(d.Refusal.EffectiveExecution(), nil)
	case claim.Replay:
		situationCounts["answer replayed"]++
		a.nonces.Refused(r.Nonce)
		reply(resultcode.Ran, d.Outcome)
	case claim.Run:
		a.run(r, d.Revision, reply)
	}
}

// run passes the request to the endpoint, which may refuse it, crash or answer.
func (a *agent) run(r claim.Record, revision storage.Revision, reply func(resultcode.Execution, *claim.Outcome)) {
	sim := a.sim
	o := claim.Outcome{Execution: resultcode.Ran, Status: 200, Body: []byte("answer of " + r.Nonce)}
	switch sim.draw(8, "endpoint") {
	case 5:
		o.Body = append(bytes.Repeat([]byte("."), claim.InlineBytes), o.Body...)
	case 6:
		o = claim.Outcome{Execution: resultcode.Unknown}
	case 7:
		o = claim.Outcome{Execution: resultcode.NotRun}
	}
	a.running++
	if o.Execution != resultcode.NotRun {
		sim.claims.recordRun(sim, r)
	}
	a.deliver(time.Duration(1+sim.draw(4000, "run ms"))*time.Millisecond, func() {
		a.running--
		if o.Execution == resultcode.Ran {
			sim.claims.answers[r.Nonce] = answer{o, r}
		}
		a.nonces.Finished(r.Nonce, o)
		r.Outcome = &o
		a.outbox.Add(a.clock(), r, revision)
		a.save()
		reply(o.Execution, &o)
	})
}

// save writes the outcomes in the outbox that are due to the table and the object
// store.
func (a *agent) save() {
	for _, s := range a.outbox.Next(a.clock()) {
		done := func(row storage.Row, err error) {
			if saved, ok := a.outbox.Result(a.clock(), s, row, err); ok {
				a.nonces.Saved(saved.Nonce)
			}
			a.save()
		}
		switch s.Step {
		case claim.SaveObject:
			a.sim.objects[s.Object] = s.Body
			a.deliver(callLatency, func() { done(storage.Row{}, nil) })
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

// recordRun records that an endpoint received a request, and checks that each key runs
// at most once.
func (o *claimOracle) recordRun(sim *simulation, r claim.Record) {
	situationCounts["key runs"]++
	o.digests[r.Key] = r.Digest
	o.runs[r.Key] = append(o.runs[r.Key], r.Nonce)
	if len(o.runs[r.Key]) > 1 {
		sim.t.Fatalf("key %s ran more than once, as %v", r.IdempotencyKey, o.runs[r.Key])
	}
}

// checkRefusal verifies that a claim that could read the row of another attempt with
// the same key and body does not report the request as not run.
func (o *claimOracle) checkRefusal(sim *simulation, r claim.Record, refusal *resultcode.Error) {
	if refusal.EffectiveExecution() != resultcode.NotRun || len(o.runs[r.Key]) == 0 || !bytes.Equal(o.digests[r.Key], r.Digest) {
		return
	}
	if refusal.Code != resultcode.StoreUnavailable && refusal.Code != resultcode.DeadlineExceeded {
		sim.t.Fatalf("attempt %s reported as not_run with %s, but key %s ran as %v", r.Nonce, refusal.Code, r.IdempotencyKey, o.runs[r.Key])
	}
}

// checkAnswer compares an answer reported as ran with the actual answer of its key.
func (o *claimOracle) checkAnswer(sim *simulation, q *call, got claim.Outcome) {
	runs := o.runs[q.key]
	if len(runs) != 1 || !bytes.Equal(o.digests[q.key], q.digest) {
		sim.t.Fatalf("key %s answered as ran; its runs are %v, want one with the same body", q.key.IdempotencyKey, runs)
	}
	want, ok := o.answers[runs[0]]
	if !ok || got.Status != want.Status || !bytes.Equal(got.Body, want.Body) {
		sim.t.Fatalf("key %s answered with %.40q, actual answer %.40q", q.key.IdempotencyKey, got.Body, want.Body)
	}
}

// checkEnd verifies, after all delayed effects, that no request reported as not_run
// has run and that each answer of an agent that has not restarted is in the table.
func (o *claimOracle) checkEnd(sim *simulation) {
	for _, q := range o.requests {
		if q.reported != resultcode.NotRun {
			continue
		}
		for _, nonce := range q.nonces {
			if slices.Contains(o.runs[q.key], nonce) {
				sim.t.Fatalf("request with key %s reported as not_run, but attempt %s ran", q.key.IdempotencyKey, nonce)
			}
		}
	}
	for nonce, want := range o.answers {
		if want.record.Agent != sim.agents[want.record.Address[0]-'0'].name() {
			continue
		}
		row, err := sim.table.get(want.record.RowKey())
		if err != nil {
			sim.t.Fatal(err)
		}
		got, err := claim.DecodeRecord(row.Value)
		if err != nil || got.Nonce != nonce || got.State != claim.RecordDone {
			sim.t.Fatalf("answer of attempt %s not recorded: %+v %v", nonce, got, err)
		}
	}
	for _, a := range sim.agents {
		if a.outbox.Len() > 0 {
			sim.t.Fatalf("%s has %d unsaved outcomes after the faults ended", a.name(), a.outbox.Len())
		}
	}
}
