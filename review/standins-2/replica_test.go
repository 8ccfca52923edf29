//go:build review2

package standins2

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	id, replica string
	arrived     time.Time
	// ended is zero for a run that was cut off.
	ended time.Time
}

// replica is a replica of a plain service.
type replica struct {
	site         *site
	id, service  string
	work         time.Duration
	address      string
	listener     net.Listener
	server       *http.Server
	mu           sync.Mutex
	phase        string
	sequence     int
	born         int64
	removed      bool
	stopped      chan struct{}
	stopOnce     sync.Once
	runs         []*run
	leavingSince time.Time
	// onRequest, if set, handles a request instead of the usual work.
	onRequest func(w http.ResponseWriter, r *http.Request, began *run) bool
}

// addReplica starts a replica that registers itself and writes its entry at each heartbeat.
func (s *site) addReplica(id, service string, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		site: s, id: id, service: service, work: work, address: l.Addr().String(), listener: l,
		phase: "ready", born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	if _, err := r.write(); err != nil {
		return nil, err
	}
	go r.beat()
	s.replicas = append(s.replicas, r)
	return r, nil
}

// write writes the entry and returns when the store had accepted it.
func (r *replica) write() (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed {
		return time.Time{}, nil
	}
	r.sequence++
	return r.site.transact([]map[string]any{row("servers", r.id, map[string]any{
		"backend": r.service, "address": r.address, "zone": "ro-sud-a", "version": "1", "capacity": 6, "phase": r.phase,
		"warmupLeftMs": 0, "sequence": r.sequence, "born": r.born,
	})}, nil)
}

func (r *replica) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
			if _, err := r.write(); err != nil {
				r.site.note("%s: heartbeat: %v", r.id, err)
			}
		}
	}
}

// drain reports that the replica is leaving and returns when the store had accepted that.
func (r *replica) drain() (time.Time, error) {
	r.mu.Lock()
	r.phase, r.leavingSince = "draining", time.Now()
	r.mu.Unlock()
	return r.write()
}

// remove removes the entry.
func (r *replica) remove() (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = true
	return r.site.transact(nil, []map[string]any{{"tableName": "servers", "part": "", "key": r.id}})
}

// stop ends the replica: its connections are closed, and requests at work are cut off.
func (r *replica) stop() {
	r.stopOnce.Do(func() {
		close(r.stopped)
		r.server.Close()
	})
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if e := q.Header.Get("Expected-Replica"); e != "" && e != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/-/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"phaseName":"colocated","models":[{"name":"m","version":1,"loras":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kvUsedTokens":0,"kvTotalTokens":232550,"cacheHandles":0,"born":%d}`, r.born)
		return
	case "/-/kv-list":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"epoch":1,"next":0,"held":[]}`)
		return
	}
	began := &run{id: q.Header.Get("Attempt-Id"), replica: r.id, arrived: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, began)
	leaving := r.phase == "draining"
	r.mu.Unlock()
	if r.onRequest != nil && r.onRequest(w, q, began) {
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	case <-r.stopped:
		return
	}
	if leaving {
		w.Header().Set("Connection", "close")
	}
	body := make([]byte, 800)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	copy(body, began.id+" "+r.id+" ")
	w.Header().Set("Attempt-Id", began.id)
	w.Header().Set("Response-Signature", "3e1b.07.5a2.600.0."+strconv.Itoa(len(body)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(body); err == nil {
		r.mu.Lock()
		began.ended = time.Now()
		r.mu.Unlock()
	}
}

// allRuns returns what the replicas ran.
func (s *site) allRuns() []run {
	var all []run
	for _, r := range s.replicas {
		r.mu.Lock()
		for _, x := range r.runs {
			all = append(all, *x)
		}
		r.mu.Unlock()
	}
	return all
}
