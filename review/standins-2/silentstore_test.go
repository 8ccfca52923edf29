//go:build review2

package standins2

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["silent-store"] = silentDrain
	cases["silent-store-gone"] = silentRemoval
}

// The times of a round of silentStore.
const (
	// silentRounds is the number of times that the connections go silent in each.
	silentRounds = 1
	// silenceToDrain is the time from the silence to the report of the leaving replica.
	silenceToDrain = 300 * time.Millisecond
	// servesOn is how long the leaving replica serves after drainTimeoutMs: "a little longer".
	servesOn = 1500 * time.Millisecond
	// betweenRounds is the calm time before each round.
	betweenRounds = 8 * time.Second
	// inTouchSlack is added to livenessMs, so that no request is judged at the very moment.
	inTouchSlack = 50 * time.Millisecond
)

// leaving is a replica that left in one round.
type leaving struct {
	silent, acked, exited time.Time
	replica               *replica
}

// plan is how silentStore is played.
type plan struct {
	// deployments play side by side, with a number of gateways each.
	deployments, gateways int
	// announce has the leaving replica report that it is draining. Otherwise its entry is removed.
	announce bool
}

// silentDrain: all open connections between the gateways and the platform's store go silent for
// good, while new ones work. Right after that a replica reports that it is draining.
func silentDrain(s *site) (bool, error) {
	return s.silentStore(plan{deployments: 16, gateways: 2, announce: true})
}

// silentRemoval is the same with a replica that never reports that it is draining: its entry is
// removed, and it serves on for the same time.
func silentRemoval(s *site) (bool, error) {
	return s.silentStore(plan{deployments: 4, gateways: 4})
}

// silentStore plays one of the two. DRAIN: once the machines are in touch again, no request may
// reach the replica later than drainTimeoutMs after the store has acknowledged that it leaves.
func (s *site) silentStore(p plan) (bool, error) {
	var wait sync.WaitGroup
	results := make([]bool, p.deployments)
	errs := make([]error, p.deployments)
	for i := range p.deployments {
		child, err := s.child(fmt.Sprintf("deployment-%d", i+1))
		if err != nil {
			return false, err
		}
		wait.Go(func() { results[i], errs[i] = child.silentDeployment(p) })
	}
	wait.Wait()
	return slices.Contains(results, true), errors.Join(errs...)
}

func (s *site) silentDeployment(how plan) (bool, error) {
	if _, err := s.configure(config(1, []map[string]any{tenant("acme", "key-acme")})); err != nil {
		return false, err
	}
	ledger, err := s.addSheetReplicas()
	if err != nil {
		return false, err
	}
	if err := s.addGateways(how.gateways); err != nil {
		return false, err
	}
	if err := s.startGateways(); err != nil {
		return false, err
	}
	c := newClients(s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := c.load(ctx, s.gateways, 20, "ledger.example", "/debit/", "key-acme", 1500*time.Millisecond)
	var played []leaving
	for i := range silentRounds {
		time.Sleep(betweenRounds)
		p, err := s.silentRound(ledger[0], how.announce)
		if err != nil {
			return false, err
		}
		played = append(played, p)
		next, err := s.addReplica(fmt.Sprintf("i-ledger%d", len(ledger)+i+1), "ledger", 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		ledger = append(ledger[1:], next)
	}
	time.Sleep(2 * time.Second)
	cancel()
	wait.Wait()
	return s.judgeDrain(c, played), nil
}

// addSheetReplicas adds the replicas of the sheet of liniste-rate: 4 of the ledger, which it
// returns, and 12 of the model pool.
func (s *site) addSheetReplicas() ([]*replica, error) {
	var ledger []*replica
	for i := range 16 {
		id, service, work := fmt.Sprintf("i-ledger%d", i+1), "ledger", 60*time.Millisecond
		if i >= 4 {
			id, service, work = fmt.Sprintf("i-pool%d", i-3), "pool", 20*time.Millisecond
		}
		r, err := s.addReplica(id, service, work)
		if err != nil {
			return nil, err
		}
		if service == "ledger" {
			ledger = append(ledger, r)
		}
		// Their heartbeats are spread over the interval.
		time.Sleep(heartbeat / 16)
	}
	return ledger, nil
}

// silentRound lets the connections go silent and a replica leave.
func (s *site) silentRound(r *replica, announce bool) (leaving, error) {
	p := leaving{replica: r, silent: time.Now()}
	if s.trouble {
		n, err := s.store.silence()
		if err != nil {
			return p, fmt.Errorf("connections can't be made silent here: %w", err)
		}
		p.silent = time.Now()
		s.note("%d connections to the store went silent; new ones work", n)
	}
	time.Sleep(silenceToDrain)
	leave, what := r.remove, "gone"
	if announce {
		leave, what = r.drain, "draining"
	}
	var err error
	if p.acked, err = leave(); err != nil {
		return p, err
	}
	s.note("%s: the store has acknowledged that it is %s", r.id, what)
	time.Sleep(time.Until(p.acked.Add(drainTimeout + servesOn)))
	r.stop()
	p.exited = time.Now()
	s.note("%s: has ended", r.id)
	if announce {
		_, err = r.remove()
	}
	return p, err
}

// judgeDrain reports whether machines in touch sent requests to leaving replicas too late.
func (s *site) judgeDrain(c *clients, played []leaving) bool {
	sent := make(map[string]attempt)
	unanswered, statuses := 0, make(map[int]int)
	for _, a := range c.attempts() {
		sent[a.id] = a
		statuses[a.status]++
		s.note("attempt %s sent at %.3f to %s: answer %d after %.3f s", a.id, s.at(a.sent), a.gateway, a.status, a.ended.Sub(a.sent).Seconds())
	}
	late, cut := 0, 0
	for _, x := range s.allRuns() {
		a := sent[x.id]
		s.note("attempt %s ran at %s from %.3f, to its end: %v", x.id, x.replica, s.at(x.arrived), !x.ended.IsZero())
		for _, p := range played {
			if x.replica != p.replica.id || !x.arrived.After(p.acked.Add(drainTimeout)) {
				continue
			}
			if s.trouble && a.sent.Before(p.silent.Add(liveness+inTouchSlack)) {
				continue
			}
			late++
			if a.status != http.StatusOK {
				cut++
			}
			s.note("LATE: attempt %s, sent at %.3f to %s, reached %s %.3f s after the acknowledgement and %.3f s after the silence began; answer %d", x.id, s.at(a.sent), a.gateway, x.replica, x.arrived.Sub(p.acked).Seconds(), x.arrived.Sub(p.silent).Seconds(), a.status)
		}
	}
	for _, a := range sent {
		if a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
			unanswered++
		}
	}
	s.note("answers by status: %v", statuses)
	s.note("%d of %d attempts reached a leaving replica too late, %d of these had no whole answer; %d attempts in all got no answer, 502 or 504", late, len(sent), cut, unanswered)
	return late > 0
}
