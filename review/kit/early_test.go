//go:build review

package kit

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// planBytes is the largest body of a plan on the sheet of the site, and window the receive
	// buffer of a replica's connection.
	planBytes = 110_000
	window    = 8 << 10
	// readsAfter is how long after it has begun to answer a replica reads on.
	readsAfter = 2500 * time.Millisecond
	// planEvents and planPause make an answer of 4 s.
	planEvents = 40
	planPause  = 100 * time.Millisecond
	plans      = 6
	// sentAfter is the time from the SIGTERM at which the requests are sent.
	sentAfter = 500 * time.Millisecond
)

// early stops a gateway with SIGTERM. Half a second later it gets requests with long bodies, which
// replicas begin to answer before they have read them; they read on later. It breaks LOST if such
// a request was passed on and the connection ends without a complete answer.
func early(b *bed) int {
	b.store = newStore()
	b.config(7)
	zones := []string{"rennes", "quimper", "vannes"}
	after := time.Millisecond
	if b.trouble {
		after = readsAfter
	}
	var pool []*replica
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("i-%d", i+1), service: "pool", zone: zones[i], slots: 64, events: planEvents, pause: planPause, window: window, readsAfter: after}
		pool = append(pool, r.start(b))
	}
	b.startGateways(3, zones)
	time.Sleep(liveness)
	g := b.gateways[0]
	stopped := g.signal(syscall.SIGTERM)
	b.note("SIGTERM to %s", g.name)
	time.Sleep(sentAfter)
	var done sync.WaitGroup
	answers := make([]answer, plans)
	for i := range plans {
		done.Go(func() {
			id := newID()
			c, err := dial(g)
			if err != nil {
				answers[i] = answer{id: id, sentAt: time.Now(), err: err}
				return
			}
			defer c.Close()
			headers := fmt.Sprintf("Model: m\r\nToken-Usage: 9000,120\r\nPrefix-Hash: 5c1e07a2:100,%s:8900\r\n", id[:8])
			answers[i] = post(c, "/chat/1", headers, id, strings.Repeat("p", planBytes), 15*time.Second)
		})
	}
	done.Wait()
	select {
	case <-g.exited:
		b.note("%s has ended", g.name)
	case <-time.After(time.Until(stopped.Add(gracePeriod))):
		g.signal(syscall.SIGKILL)
		b.note("SIGKILL to %s", g.name)
	}
	lost, whole := 0, 0
	for i, a := range answers {
		passedOn := ""
		for _, r := range pool {
			for _, x := range r.seen() {
				if x.id == a.id {
					passedOn = r.id
				}
			}
		}
		pieces := strings.Count(a.body, "\n\n")
		b.note("client %d: request %s was sent %.3f s after the SIGTERM, passed on to %q; status %d, %d of %d events, ended %.3f s after it was sent, error: %v",
			i+1, a.id, a.sentAt.Sub(stopped).Seconds(), passedOn, a.status, pieces, planEvents, a.at.Sub(a.sentAt).Seconds(), a.err)
		switch {
		case passedOn != "" && a.err != nil:
			lost++
		case a.status == 200 && a.err == nil && pieces == planEvents:
			whole++
		}
	}
	b.note("%d of %d requests were passed on and ended without a complete answer, %d were answered whole", lost, plans, whole)
	switch {
	case lost > 0:
		return exitBroken
	case whole < plans:
		return exitNotRun
	}
	return exitHeld
}
