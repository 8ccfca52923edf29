package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// eventsPerStream is the length of every stream.
const eventsPerStream = 6

// world is what the endpoints saw, by the id of the caller's attempt.
type world struct {
	mu       sync.Mutex
	runs     map[string]int
	accounts map[string]string
}

func (w *world) ran(id, account string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.accounts[id] = account
}

func (w *world) count(id string) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id], w.accounts[id]
}

// backEnd is an endpoint that runs requests, and at times loses or refuses them.
type backEnd struct {
	id     string
	world  *world
	server *httptest.Server
	proxy  *proxy
	mu     sync.Mutex
	rng    *rand.Rand
}

func newBackEnd(id string, w *world, seed uint64) (*backEnd, error) {
	b := &backEnd{id: id, world: w, rng: rand.New(rand.NewPCG(seed, 7))}
	b.server = httptest.NewServer(b)
	var err error
	b.proxy, err = newProxy(b.server.Listener.Addr().String())
	return b, err
}

func (b *backEnd) chance(of float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64() < of
}

func signature(id, endpoint string) string { return id + "@" + endpoint }

func (b *backEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expected-Replica") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.chance(0.03) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.world.ran(id, r.Header.Get("Tenant"))
	if b.chance(0.03) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", signature(id, b.id))
	if r.URL.Path[:5] == "/ask/" || r.URL.Path[:5] == "/say/" {
		b.stream(w, r, id)
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

func (b *backEnd) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	for ; next <= eventsPerStream; next++ {
		if b.chance(0.01) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event(id, next)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }
