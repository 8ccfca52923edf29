//go:build review

package kit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// poolSize is the number of model replicas, and backAfter how long a crashed one is away.
	poolSize  = 12
	backAfter = 2500 * time.Millisecond
	// asks is how often the caller asks, and askEvery the time between. Its client is one of those
	// that repeat a failed request three more times, at once, each time at another machine.
	asks       = 6
	askEvery   = 5 * time.Second
	retries    = 3
	retryPause = 35 * time.Millisecond
	// othersEvery is the time between two requests of the other callers.
	othersEvery = 40 * time.Millisecond
	// allowedRetries is the number of retries that may reach replicas later than livenessMs after
	// the third crash.
	allowedRetries = 3
)

// crashes lets a caller ask again and again for what crashes each replica that begins to run it.
// It breaks BUDGET if that reaches replicas in more than three retries later than livenessMs after
// the third crash.
func crashes(b *bed) int {
	b.store = newStore()
	b.config(7)
	zones := []string{"rennes", "quimper", "vannes"}
	const deadlyBody = "what crashes replicas"
	deadly := ""
	if b.trouble {
		deadly = deadlyBody
	}
	type crash struct {
		at      time.Time
		replica string
	}
	var mu sync.Mutex
	var crashed []crash
	count := 0
	var add func(zone string)
	add = func(zone string) {
		mu.Lock()
		defer mu.Unlock()
		count++
		r := &replica{id: fmt.Sprintf("i-%d", count), service: "pool", zone: zone, slots: 64, events: 8, pause: 30 * time.Millisecond, deadly: deadly}
		r.onCrash = func(r *replica) {
			mu.Lock()
			crashed = append(crashed, crash{time.Now(), r.id})
			mu.Unlock()
			b.note("replica %s crashes", r.id)
			time.AfterFunc(backAfter, func() { add(zone) })
		}
		r.start(b)
	}
	for i := range poolSize {
		add(zones[i%len(zones)])
	}
	b.startGateways(5, zones)
	time.Sleep(liveness)
	stop := make(chan struct{})
	var done sync.WaitGroup
	cut := 0
	var sent []answer
	done.Go(func() {
		ticker := time.NewTicker(othersEvery)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			g := b.gateways[rand.IntN(len(b.gateways))]
			done.Go(func() {
				a := ask(g, "/ask/other", newID(), "")
				mu.Lock()
				defer mu.Unlock()
				sent = append(sent, a)
				if a.status != 200 || a.err != nil {
					cut++
				}
			})
		}
	})
	attempts := make(map[string]time.Time)
	served := 0
	for n := range asks {
		first := rand.IntN(len(b.gateways))
		for try := range 1 + retries {
			g := b.gateways[(first+try)%len(b.gateways)]
			id := newID()
			a := ask(g, "/ask/deadly", id, deadlyBody)
			mu.Lock()
			attempts[id] = a.sentAt
			sent = append(sent, a)
			mu.Unlock()
			b.note("ask %d, attempt %d: request %s at %s got status %d, error: %v", n+1, try+1, id, g.name, a.status, a.err)
			if a.status == 200 && a.err == nil {
				served++
				break
			}
			time.Sleep(retryPause)
		}
		time.Sleep(askEvery)
	}
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.list(sent)
	slices.SortFunc(crashed, func(x, y crash) int { return x.at.Compare(y.at) })
	arrivals := 0
	late := make(map[string]bool)
	if len(crashed) >= 3 {
		bound := crashed[2].at.Add(liveness)
		b.note("the third replica crashed at %.3f; retries are counted from %.3f", b.since(crashed[2].at), b.since(bound))
		for _, r := range b.replicas {
			for _, x := range r.seen() {
				if x.body == deadlyBody && attempts[x.id].After(bound) {
					arrivals++
					late[x.id] = true
					b.note("at %.3f replica %s got request %s", b.since(x.at), r.id, x.id)
				}
			}
		}
	}
	b.note("%d crashes; later than livenessMs after the third, %d retries of the client reached replicas, %d times in all; %d retries are allowed",
		len(crashed), len(late), arrivals, allowedRetries)
	b.note("other callers: %d requests, %d of them without a whole answer", len(sent)-len(attempts), cut)
	switch {
	case !b.trouble && served < asks, b.trouble && len(crashed) < 3:
		return exitNotRun
	case len(late) > allowedRetries:
		return exitBroken
	}
	return exitHeld
}

// ask sends one request of the route that may be resumed.
func ask(g *gateway, path, id, body string) (a answer) {
	defer func() { a.gateway = g.name }()
	c, err := dial(g)
	if err != nil {
		return answer{id: id, sentAt: time.Now(), err: err}
	}
	defer c.Close()
	if body == "" {
		body = "request " + id
	}
	headers := fmt.Sprintf("Model: m\r\nToken-Usage: 400,24\r\nPrefix-Hash: 5c1e07a2:100,%s:300\r\n", id[:8])
	if path == "/ask/deadly" {
		headers = "Model: m\r\nToken-Usage: 400,24\r\nPrefix-Hash: 5c1e07a2:100,dead0001:300\r\n"
	}
	return post(c, path, headers, id, body, 4*time.Second)
}
