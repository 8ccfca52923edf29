//go:build review

package kit

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// askEvents and askPause make an answer of 3.6 s in which the replica makes an event every
	// 1.2 s, as it is busy.
	askEvents = 3
	askPause  = 1200 * time.Millisecond
	askCount  = 6
	// bothAllowed is how long a replica may still work on a request that goes on at another one.
	bothAllowed = 400 * time.Millisecond
)

// goesOn sends streams that may be resumed, with long bodies, which replicas begin to answer before
// they have read them; they read on later. It breaks TWICE if such a stream goes on at another
// replica while the one before still works on it 400 ms later.
func goesOn(b *bed) int {
	b.store = newStore()
	b.config(7)
	zones := []string{"rennes", "quimper", "vannes"}
	after := time.Millisecond
	if b.trouble {
		after = readsAfter
	}
	var pool []*replica
	for i := range 6 {
		r := &replica{id: fmt.Sprintf("i-%d", i+1), service: "pool", zone: zones[i%3], slots: 64, events: askEvents, pause: askPause, window: window, readsAfter: after}
		pool = append(pool, r.start(b))
	}
	b.startGateways(3, zones)
	time.Sleep(liveness)
	var done sync.WaitGroup
	answers := make([]answer, askCount)
	for i := range askCount {
		g := b.gateways[i%len(b.gateways)]
		done.Go(func() {
			id := newID()
			c, err := dial(g)
			if err != nil {
				answers[i] = answer{id: id, sentAt: time.Now(), err: err}
				return
			}
			defer c.Close()
			headers := fmt.Sprintf("Model: m\r\nToken-Usage: 9000,9\r\nPrefix-Hash: 5c1e07a2:100,%s:8900\r\n", id[:8])
			answers[i] = post(c, "/ask/1", headers, id, strings.Repeat("p", planBytes), 15*time.Second)
		})
	}
	done.Wait()
	time.Sleep(readsAfter)
	both, whole := 0, 0
	for i, a := range answers {
		type run struct {
			replica string
			arrival
		}
		var runs []run
		for _, r := range pool {
			for _, x := range r.seen() {
				if x.id == a.id {
					runs = append(runs, run{r.id, x})
				}
			}
		}
		b.note("client %d: request %s was sent at %.3f; status %d, %d of %d events, ended %.3f s after it was sent, error: %v",
			i+1, a.id, b.since(a.sentAt), a.status, strings.Count(a.body, "\n\n"), askEvents, a.at.Sub(a.sentAt).Seconds(), a.err)
		for _, x := range runs {
			b.note("  replica %s worked on it from %.3f to %.3f, Last-Event-Id %q", x.replica, b.since(x.at), b.since(x.left), x.resumes)
		}
		for _, later := range runs {
			for _, before := range runs {
				if before.at.Before(later.at) && before.replica != later.replica && before.left.Sub(later.at) > bothAllowed {
					b.note("  it went on at replica %s, and replica %s still worked on it %.3f s later", later.replica, before.replica, before.left.Sub(later.at).Seconds())
					both++
				}
			}
		}
		if a.status == 200 && a.err == nil && strings.Count(a.body, "\n\n") == askEvents {
			whole++
		}
	}
	b.note("%d times a request went on at another replica while the one before still worked on it %v later; %d of %d answers were whole", both, bothAllowed, whole, askCount)
	switch {
	case both > 0:
		return exitBroken
	case !b.trouble && whole < askCount:
		return exitNotRun
	}
	return exitHeld
}
