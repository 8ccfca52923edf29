package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventsPerStream is the number of events in each stream.
const eventsPerStream = 6

// executionLog records the requests that ran at the endpoints and the accounts that
// the endpoints received, by the Attempt-Id that the caller sent.
type executionLog struct {
	mu          sync.Mutex
	runsByID    map[string]int
	accountByID map[string]string
}

func (l *executionLog) record(id, account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByID[id]++
	l.accountByID[id] = account
}

func (l *executionLog) lookup(id string) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByID[id], l.accountByID[id]
}

// endpoint is a server that runs requests behind a fault proxy. At random it refuses
// a request without running it, or closes the connection of one that ran.
type endpoint struct {
	id         string
	executions *executionLog
	server     *httptest.Server
	proxy      *faultProxy
	mu         sync.Mutex
	rng        *rand.Rand
	// process is the run of the endpoint: it gets another one when it starts again.
	process endpointProcess
	// limit is the rate in requests a second that the endpoint names; zero for none.
	limit    float64
	arrivals []time.Time
	// register writes the entry of a run of the endpoint.
	register func(endpointProcess)
	// deadlyArrivals are the arrivals of requests with deadlyPart, which crash the endpoint.
	deadlyArrivals []time.Time
}

// endpointProcess is a run of an endpoint, from its start to its end.
type endpointProcess struct {
	// version is the version of the software, which each event of a stream names.
	version string
	// born is the start in Unix milliseconds.
	born int64
}

func newEndpoint(id, version string, w *executionLog, seed uint64) (*endpoint, error) {
	b := &endpoint{id: id, process: endpointProcess{version, time.Now().UnixMilli()}, executions: w, rng: rand.New(rand.NewPCG(seed, 7))}
	b.server = httptest.NewServer(b)
	var err error
	b.proxy, err = newFaultProxy(b.server.Listener.Addr().String())
	return b, err
}

// chance returns true with the given probability.
func (b *endpoint) chance(probability float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64() < probability
}

// limitNotice is the time after which the limit of an endpoint must be kept, and limitWindow
// the time in which it may then get one and a half times what the limit allows, and
// limitExtra requests.
const (
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	limitExtra  = 5
)

func (b *endpoint) setLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = perSecond
}

// mostInWindow returns the largest number of arrivals in limitWindow after limitNotice.
func (b *endpoint) mostInWindow() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, first := 0, 0
	for last, at := range b.arrivals {
		for at.Sub(b.arrivals[first]) >= limitWindow || b.arrivals[first].Sub(b.arrivals[0]) < limitNotice && first < last {
			first++
		}
		if b.arrivals[first].Sub(b.arrivals[0]) >= limitNotice {
			most = max(most, last-first+1)
		}
	}
	return most
}

// deadlyPart is a part of prompts that crashes each endpoint as it begins an answer, and
// crashDowntime how long the endpoint then accepts no connections.
const (
	deadlyPart    = "dead"
	crashDowntime = 700 * time.Millisecond
)

// crash ends all connections of the endpoint and refuses new ones until it has started again
// under its id.
func (b *endpoint) crash() {
	b.mu.Lock()
	b.deadlyArrivals = append(b.deadlyArrivals, time.Now())
	b.mu.Unlock()
	b.end()
	version := b.current().version
	time.AfterFunc(crashDowntime, func() { b.register(b.begin(version)) })
	panic(http.ErrAbortHandler)
}

// end ends all connections of the endpoint and refuses new ones.
func (b *endpoint) end() {
	b.proxy.refuse.Store(true)
	b.proxy.forEachConn(func(c *proxiedConn) { closeWithReset(c.downstream); closeWithReset(c.upstream) })
}

// begin lets the endpoint accept connections as another process.
func (b *endpoint) begin(version string) endpointProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = endpointProcess{version, time.Now().UnixMilli()}
	// Another fault may have let connections to the process before in.
	b.end()
	b.proxy.refuse.Store(false)
	return b.process
}

// current returns the run of the endpoint.
func (b *endpoint) current() endpointProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

// replace ends the endpoint and starts it again under its id and address with another version.
// Its entry comes later.
func (b *endpoint) replace(down, entryAfter time.Duration) {
	b.end()
	time.Sleep(down)
	other := (slices.Index(softwareVersions, b.current().version) + 1) % len(softwareVersions)
	process := b.begin(softwareVersions[other])
	time.Sleep(entryAfter)
	b.register(process)
}

// deadlyTimes returns the arrivals of requests with deadlyPart.
func (b *endpoint) deadlyTimes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.deadlyArrivals)
}

func signature(id, endpoint string) string { return id + "@" + endpoint }

func (b *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	b.mu.Lock()
	b.arrivals = append(b.arrivals, time.Now())
	limit := b.limit
	b.mu.Unlock()
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if r.Header.Get("Expected-Replica") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	process := b.current()
	if r.URL.Path == "/-/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"born":%d}`, process.born)
		return
	}
	if b.chance(0.03) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.executions.record(id, r.Header.Get("Tenant"))
	if strings.Contains(r.Header.Get("Prefix-Hash"), deadlyPart) {
		b.crash()
	}
	if b.chance(0.03) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", signature(id, b.id))
	unframed := b.chance(0.5)
	if unframed {
		// net/http then marks the end of the body with the end of the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if r.URL.Path[:5] == "/ask/" || r.URL.Path[:5] == "/say/" {
		b.serveStream(w, r, id, process.version, unframed)
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

// serveStream sends the events after Last-Event-Id and breaks the connection at random. An
// unframed stream breaks inside an event, as callers could not notice it otherwise.
func (b *endpoint) serveStream(w http.ResponseWriter, r *http.Request, id, version string, unframed bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	for ; next <= eventsPerStream; next++ {
		if b.chance(0.01) {
			if text := eventText(id, version, next); unframed {
				_, _ = io.WriteString(w, text[:1+len(text)/2])
				_ = http.NewResponseController(w).Flush()
			}
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, eventText(id, version, next)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func eventText(id, version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, version)
}
