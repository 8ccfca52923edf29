//go:build review

package kit

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// heartbeat is how often a replica writes its entry.
	heartbeat = 1200 * time.Millisecond
	// beginsAfter is how long after its arrival a deadly request begins to run.
	beginsAfter = 10 * time.Millisecond
)

// arrival is a request that reached a replica.
type arrival struct {
	id string
	at time.Time
	// body is what the client sent.
	body string
	// resumes is the Last-Event-Id; empty for none.
	resumes string
	// ended is when its answer was complete; zero if it was cut. left is when the replica
	// stopped working on it.
	ended, left time.Time
}

// replica is a server of a service. A plain one works for a time on each request; one with events
// streams them.
type replica struct {
	bed               *bed
	id, service, zone string
	slots             int
	work              time.Duration
	events            int
	pause             time.Duration
	// deadly is the body of the request that crashes the replica as it begins to run it; empty
	// for none.
	deadly  string
	onCrash func(*replica)
	// window, if not zero, is the receive buffer of its connections in bytes, and readsAfter how
	// long after the head of a request it reads the body; it answers meanwhile.
	window     int
	readsAfter time.Duration
	addr       string
	born       int64
	server     *http.Server
	once       sync.Once
	stopBeats  context.CancelFunc
	mu         sync.Mutex
	sequence   int
	arrivals   []*arrival
}

// start opens the replica and registers it in the store.
func (r *replica) start(b *bed) *replica {
	r.bed, r.born = b, time.Now().UnixMilli()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if r.window == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, r.window) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	fail(err)
	r.addr = listener.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	b.replicas = append(b.replicas, r)
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeats = cancel
	r.beat("ready")
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.mu.Lock()
				if ctx.Err() == nil {
					r.beat("ready")
				}
				r.mu.Unlock()
			}
		}
	}()
	return r
}

// beat writes the entry of the replica.
func (r *replica) beat(phase string) time.Time {
	r.sequence++
	return r.bed.store.change("servers", r.id, fmt.Sprintf(
		`{"backend":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"phase":%q,"warmupLeftMs":0,"sequence":%d,"born":%d}`,
		r.service, r.addr, r.zone, r.slots, phase, r.sequence, r.born))
}

// leave removes the entry of the replica, as one that never reports that it drains, and returns
// the time of the acknowledgement. It goes on serving until exit.
func (r *replica) leave() time.Time {
	r.stopBeats()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bed.store.change("servers", r.id, "")
}

// crash ends the replica as its process would: it sends nothing more, and the store removes its
// entry after three heartbeats of silence.
func (r *replica) crash() {
	r.once.Do(func() {
		r.stopBeats()
		_ = r.server.Close()
		time.AfterFunc(3*heartbeat, func() { r.bed.store.change("servers", r.id, "") })
		r.onCrash(r)
	})
}

// exit ends the replica; its connections are reset.
func (r *replica) exit() {
	r.once.Do(func() {
		r.stopBeats()
		_ = r.server.Close()
	})
}

// seen returns the arrivals so far.
func (r *replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var seen []arrival
	for _, a := range r.arrivals {
		seen = append(seen, *a)
	}
	return seen
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	w.Header()["Date"] = nil
	switch {
	case q.URL.Path == "/-/kv-list":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"epoch":"1","next":0,"held":[]}`)
		return
	case q.URL.Path == "/healthz":
		w.Header().Set("Replica-Id", r.id)
		return
	}
	if expected := q.Header.Get("Expected-Replica"); expected != "" && expected != r.id {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{id: q.Header.Get("Attempt-Id"), at: time.Now(), resumes: q.Header.Get("Last-Event-Id")}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if a.left.IsZero() {
			a.left = time.Now()
		}
	}()
	w.Header().Set("Attempt-Id", a.id)
	w.Header().Set("Response-Signature", a.id+"."+r.id)
	if r.readsAfter > 0 {
		r.answerEarly(w, q, a)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	a.body = string(body)
	r.mu.Unlock()
	if r.deadly != "" && a.body == r.deadly {
		time.Sleep(beginsAfter)
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if r.events > 0 {
		r.stream(w, q, a)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s", a.id)
	r.end(a)
}

// answerEarly answers a request with a stream before it has read the body, and reads on later.
func (r *replica) answerEarly(w http.ResponseWriter, q *http.Request, a *arrival) {
	fail(http.NewResponseController(w).EnableFullDuplex())
	read := make(chan struct{})
	go func() {
		defer close(read)
		time.Sleep(r.readsAfter)
		body, err := io.ReadAll(q.Body)
		if err != nil {
			r.bed.note("replica %s could not read the rest of request %s: %v", r.id, a.id, err)
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		a.body = string(body)
	}()
	r.stream(w, q, a)
	r.mu.Lock()
	a.left = time.Now()
	r.mu.Unlock()
	<-read
}

func (r *replica) end(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.ended = time.Now()
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, a *arrival) {
	w.Header().Set("Content-Type", "text/event-stream")
	next := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	for ; next <= r.events; next++ {
		select {
		case <-time.After(r.pause):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", next, a.id, next); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	r.end(a)
}
