//go:build review

package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/standin"
)

// store is the platform's store: the project's stand-in, with answers that can be lost.
type store struct {
	table   *standin.Table
	servers []*http.Server
	mu      sync.Mutex
	// silentTo is the name of the gateway that gets no answers; empty for none.
	silentTo string
	lost     int
	done     chan struct{}
}

func newStore() *store {
	return &store{table: standin.NewTable(standin.TableOptions{}), done: make(chan struct{})}
}

// addressFor opens an address of the store for one gateway, as all of them have the same source
// address on loopback.
func (s *store) addressFor(gateway string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	fail(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(gateway, w, r) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func (s *store) close() {
	close(s.done)
	s.table.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// silence makes the store lose its answers to the gateway with a name; empty ends that. A
// connection on which an answer was lost delivers nothing further.
func (s *store) silence(gateway string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTo = gateway
}

func (s *store) isSilentTo(gateway string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silentTo == "" || s.silentTo != gateway {
		return false
	}
	s.lost++
	return true
}

// serve answers a call. The call itself is carried out also if its answer is lost.
func (s *store) serve(gateway string, w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	aborted := func() (aborted bool) {
		defer func() { aborted = recover() != nil }()
		s.table.ServeHTTP(answer, r)
		return false
	}()
	if aborted {
		panic(http.ErrAbortHandler)
	}
	if s.isSilentTo(gateway) {
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// change writes, or with empty data removes, a row as the operator and the replicas do, and
// returns the time of the acknowledgement.
func (s *store) change(table, key, data string) time.Time {
	row := map[string]any{"tableName": table, "part": "", "key": key}
	tx := map[string]any{"expected": []any{}, "write": []any{}, "remove": []any{}}
	if data == "" {
		tx["remove"] = []any{row}
	} else {
		row["data"] = []byte(data)
		tx["write"] = []any{row}
	}
	body, err := json.Marshal(tx)
	fail(err)
	w := httptest.NewRecorder()
	s.table.ServeHTTP(w, httptest.NewRequest("POST", "/-/rows-tx", bytes.NewReader(body)))
	if w.Code != http.StatusOK {
		fail(fmt.Errorf("write of %s/%s: status %d %s", table, key, w.Code, strings.TrimSpace(w.Body.String())))
	}
	return time.Now()
}
