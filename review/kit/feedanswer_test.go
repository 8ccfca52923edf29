//go:build review

package kit

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// silentFor is how long the store loses its answers to one machine.
	silentFor = 500 * time.Millisecond
	// afterSilence is the time from the last lost answer until a replica leaves. By then the
	// machine has been in touch, and the core stable, for a while.
	afterSilence = liveness + 200*time.Millisecond
	// servesOn is how long a replica serves after its entry was removed: drainTimeout and a
	// little longer.
	servesOn = drainTimeout + 1800*time.Millisecond
	rounds   = 5
	// bookings is the time between two requests of the clients of one gateway.
	bookings = 80 * time.Millisecond
)

// feedAnswer loses the store's answers to one machine for half a second, and lets a replica
// leave when that has been over for longer than livenessMs. It breaks DRAIN if the machine
// sends requests to the replica later than drainTimeoutMs after the removal was acknowledged.
func feedAnswer(b *bed) int {
	b.store = newStore()
	b.config(7)
	zones := []string{"rennes", "quimper", "vannes"}
	count := 0
	add := func() *replica {
		count++
		return (&replica{id: fmt.Sprintf("i-%d", count), service: "depot", zone: zones[(count-1)%3], slots: 6, work: 150 * time.Millisecond}).start(b)
	}
	current := []*replica{add(), add(), add()}
	b.startGateways(5, zones)
	time.Sleep(liveness)
	var done sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	stop := make(chan struct{})
	for _, g := range b.gateways {
		done.Go(func() {
			ticker := time.NewTicker(bookings)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				done.Go(func() {
					id := newID()
					c, err := dial(g)
					if err != nil {
						return
					}
					defer c.Close()
					a := post(c, "/book/1", "", id, "request "+id, 1500*time.Millisecond)
					a.gateway = g.name
					mu.Lock()
					defer mu.Unlock()
					answers[id] = a
				})
			}
		})
	}
	broken := 0
	for round := range rounds {
		g := b.gateways[round%len(b.gateways)]
		leaving := current[0]
		current = append(current[1:], add())
		time.Sleep(time.Second)
		if b.trouble {
			b.store.silence(g.name)
			time.Sleep(silentFor)
			b.store.silence("")
			b.note("round %d: the store has lost its answers to %s for %v, and answers again", round+1, g.name, silentFor)
		} else {
			time.Sleep(silentFor)
		}
		time.Sleep(afterSilence)
		acked := leaving.leave()
		b.note("round %d: the entry of replica %s is removed, acknowledged", round+1, leaving.id)
		time.Sleep(time.Until(acked.Add(servesOn)))
		leaving.exit()
		b.note("round %d: replica %s exits", round+1, leaving.id)
		time.Sleep(1700 * time.Millisecond)
		mu.Lock()
		late, cut := 0, 0
		for _, x := range leaving.seen() {
			after := x.at.Sub(acked)
			if after <= drainTimeout {
				continue
			}
			late++
			a := answers[x.id]
			if x.ended.IsZero() {
				cut++
			}
			b.note("round %d: replica %s got request %s from %s %.3f s after the acknowledgement; whole answer made: %t; the client got status %d",
				round+1, leaving.id, x.id, a.gateway, after.Seconds(), !x.ended.IsZero(), a.status)
		}
		mu.Unlock()
		b.note("round %d: %d requests reached replica %s later than %v after the acknowledgement, %d of them were cut by its exit",
			round+1, late, leaving.id, drainTimeout, cut)
		broken += late
	}
	close(stop)
	done.Wait()
	statuses := make(map[int]int)
	var sent []answer
	for _, a := range answers {
		statuses[a.status]++
		sent = append(sent, a)
	}
	slices.SortFunc(sent, func(x, y answer) int { return x.sentAt.Compare(y.sentAt) })
	b.list(sent)
	b.note("%d requests by the status that clients got (0: no answer): %v", len(answers), statuses)
	b.note("answers of the store that were lost: %d", b.store.lost)
	switch {
	case b.trouble && b.store.lost == 0 || statuses[200] < len(answers)/2:
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
