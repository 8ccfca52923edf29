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
	// chatEvents and chatPause make a stream of 6 s.
	chatEvents = 80
	chatPause  = 75 * time.Millisecond
	// openedAfter and sentAfter are the times from the SIGTERM at which clients connect, and at
	// which they send their request.
	openedAfter = time.Second
	sentAfter   = 3300 * time.Millisecond
	chats       = 4
)

// lateStop stops a gateway with SIGTERM. Clients that were connected a second later send their
// first request 3.3 s after the signal. It breaks LOST if such a request is passed on to a
// replica and the connection ends without a complete answer.
func lateStop(b *bed) int {
	b.store = newStore()
	b.config(7)
	zones := []string{"rennes", "quimper", "vannes"}
	var pool []*replica
	for i := range 3 {
		pool = append(pool, (&replica{id: fmt.Sprintf("i-%d", i+1), service: "pool", zone: zones[i], slots: 64, events: chatEvents, pause: chatPause}).start(b))
	}
	b.startGateways(3, zones)
	time.Sleep(liveness)
	g := b.gateways[0]
	stopped := time.Now()
	if b.trouble {
		stopped = g.signal(syscall.SIGTERM)
		b.note("SIGTERM to %s", g.name)
	}
	time.Sleep(time.Until(stopped.Add(openedAfter)))
	var done sync.WaitGroup
	answers := make([]answer, chats)
	for i := range chats {
		c, err := dial(g)
		if err != nil {
			fail(err)
		}
		b.note("client %d is connected to %s", i+1, g.name)
		done.Go(func() {
			defer c.Close()
			time.Sleep(time.Until(stopped.Add(sentAfter)))
			id := newID()
			b.note("client %d sends request %s", i+1, id)
			headers := fmt.Sprintf("Model: m\r\nToken-Usage: 500,240\r\nPrefix-Hash: 5c1e07a2:100,%s:400\r\n", id[:8])
			answers[i] = post(c, "/chat/1", headers, id, "request "+id, 15*time.Second)
		})
	}
	if b.trouble {
		done.Go(func() {
			select {
			case <-g.exited:
				b.note("%s has ended", g.name)
			case <-time.After(time.Until(stopped.Add(gracePeriod))):
				g.signal(syscall.SIGKILL)
				b.note("SIGKILL to %s", g.name)
			}
		})
	}
	done.Wait()
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
		b.note("client %d: request %s was sent %.3f s after the SIGTERM, passed on to %q; status %d, %d of %d events, ended %.3f s after the SIGTERM, error: %v",
			i+1, a.id, a.sentAt.Sub(stopped).Seconds(), passedOn, a.status, pieces, chatEvents, a.at.Sub(stopped).Seconds(), a.err)
		switch {
		case passedOn != "" && a.err != nil && a.sentAt.Sub(stopped) > 3*time.Second:
			lost++
		case a.status == 200 && a.err == nil && pieces == chatEvents:
			whole++
		}
	}
	b.note("%d of %d requests were passed on and ended without a complete answer, %d were answered whole", lost, chats, whole)
	switch {
	case lost > 0:
		return exitBroken
	case !b.trouble && whole < chats:
		return exitNotRun
	}
	return exitHeld
}
