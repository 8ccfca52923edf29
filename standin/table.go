package standin

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// MaxDeleteRows bounds one POST /rows:delete.
	MaxDeleteRows = 25
	// MaxListRows bounds one page of GET /rows and is its default limit.
	MaxListRows = 1000
	// MaxRowBytes bounds a row's value.
	MaxRowBytes = 400 << 10
)

// TableOptions configure a table service. The zero value is usable.
type TableOptions struct {
	// Faults are in effect from the start.
	Faults TableFaults
}

// TableFaults are the faults of a table service. The zero value means none.
type TableFaults struct {
	// Down answers every call with 503; writes do not take effect.
	Down bool `json:"down,omitempty"`
	// Hang leaves calls without an answer until the client gives up. Writes do
	// not take effect.
	Hang bool `json:"hang,omitempty"`
	// LatencyMS delays each call before it takes effect.
	LatencyMS int `json:"latency_ms,omitempty"`
	// LoseWriteAnswers is the number of next writes that take effect and whose
	// connection is then closed without an answer.
	LoseWriteAnswers int `json:"lose_write_answers,omitempty"`
	// DelayWrites is the number of next writes whose connection is closed at
	// once and that are tried DelayWritesMS later, with their condition checked
	// then. It comes before LoseWriteAnswers.
	DelayWrites   int `json:"delay_writes,omitempty"`
	DelayWritesMS int `json:"delay_writes_ms,omitempty"`
	// ReadLagMS makes reads and lists return the rows as they were that long
	// ago, at most MaxReadLag. Conditions of writes see the newest rows.
	ReadLagMS int `json:"read_lag_ms,omitempty"`
}

func (f TableFaults) validate() error {
	if min(f.LoseWriteAnswers, f.DelayWrites) < 0 {
		return errFaultRange
	}
	if err := checkMilliseconds(f.LatencyMS, f.DelayWritesMS, f.ReadLagMS); err != nil {
		return err
	}
	if milliseconds(f.ReadLagMS) > MaxReadLag {
		return errors.New("standin: read_lag_ms is above " + MaxReadLag.String())
	}
	return nil
}

// TableCount counts calls. A transaction on several rows is one write, counted
// under its first row. Calls that are answered 404 or 412 are counted.
type TableCount struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Table is a stand-in of the transactional table service. It serves
// GET and PUT /rows/{key...}, GET /rows, POST /rows:delete and GET /counts. A
// revision is an ETag in quotes; revisions rise over the whole table.
type Table struct {
	mux  *http.ServeMux
	done chan struct{}

	mu     sync.Mutex
	rows   rowSet
	faults TableFaults
	counts map[string]TableCount
}

// NewTable returns an empty table. It panics when opts.Faults are invalid.
func NewTable(opts TableOptions) *Table {
	t := &Table{
		mux:    http.NewServeMux(),
		done:   make(chan struct{}),
		counts: make(map[string]TableCount),
	}
	if err := t.SetFaults(opts.Faults); err != nil {
		panic(err)
	}
	addFaultRoutes(t.mux, t.Faults, t.SetFaults)
	t.mux.HandleFunc("GET /rows/{key...}", t.serveGet)
	t.mux.HandleFunc("PUT /rows/{key...}", t.servePut)
	t.mux.HandleFunc("GET /rows", t.serveList)
	t.mux.HandleFunc("POST /rows:delete", t.serveDelete)
	t.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Counts())
	})
	return t
}

// ServeHTTP serves the table's protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mux.ServeHTTP(w, r)
}

// Close ends hanging calls; delayed writes no longer take effect. It is called once.
func (t *Table) Close() {
	close(t.done)
}

// Faults returns the faults in effect, with the writes still to be affected.
func (t *Table) Faults() TableFaults {
	return readFaults(&t.mu, &t.faults)
}

// SetFaults replaces the faults. Calls that hang already go on hanging.
func (t *Table) SetFaults(f TableFaults) error {
	return replaceFaults(&t.mu, &t.faults, f)
}

// Counts returns the calls so far by the first path element of the key. Calls
// during Down and Hang are counted too.
func (t *Table) Counts() map[string]TableCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// count adds a call under the first path element of a key or prefix.
func (t *Table) count(key string, reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	element, _, _ := strings.Cut(key, "/")
	c := t.counts[element]
	c.Reads += reads
	c.Writes += writes
	t.counts[element] = c
}

// admit applies the faults that come before any effect. It returns false when
// the call has been answered.
func (t *Table) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := t.Faults()
	if faults.Hang {
		select {
		case <-r.Context().Done():
		case <-t.done:
		}
		dropConnection()
	}
	if !t.pause(milliseconds(faults.LatencyMS)) {
		dropConnection()
	}
	if faults.Down {
		writeError(w, http.StatusServiceUnavailable, "table service is down")
		return false
	}
	return true
}

// pause waits and returns false when the table is closed first.
func (t *Table) pause(d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-t.done:
		return false
	}
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	t.count(key, 1, 0)
	if !t.admit(w, r) {
		return
	}
	row, ok := t.read(key)
	if !ok {
		writeError(w, http.StatusNotFound, "no such row")
		return
	}
	w.Header().Set("ETag", strconv.Quote(row.revision()))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(row.value)
}

func (t *Table) read(key string) (rowVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows.get(key, t.readTime())
}

func (t *Table) readTime() time.Time {
	return time.Now().Add(-milliseconds(t.faults.ReadLagMS))
}

func (t *Table) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), query.Get("after")
	t.count(prefix, 1, 0)
	if !t.admit(w, r) {
		return
	}
	limit := MaxListRows
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			writeError(w, http.StatusBadRequest, "limit is not a positive number")
			return
		}
		limit = min(n, MaxListRows)
	}
	writeJSON(w, http.StatusOK, t.page(prefix, after, limit))
}

func (t *Table) servePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	t.count(key, 0, 1)
	value, err := readBody(w, r)
	if err != nil || len(value) > MaxRowBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "the value is too large or was cut short")
		return
	}
	condition, err := parseCondition(r.Header)
	if err != nil || key == "" {
		writeError(w, http.StatusPreconditionRequired, "a key and one of If-Match and If-None-Match: * are required")
		return
	}
	if !t.admit(w, r) {
		return
	}
	reply := t.write(func() writeReply { return t.put(key, value, condition) })
	if reply.revision != "" {
		w.Header().Set("ETag", strconv.Quote(reply.revision))
	}
	if reply.status == http.StatusPreconditionFailed {
		writeError(w, reply.status, "the row has another revision")
		return
	}
	w.WriteHeader(reply.status)
}

// parseCondition returns the revision that a conditional write expects; empty
// means that the row must not exist.
func parseCondition(h http.Header) (revision string, err error) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	if none == "*" && match == "" {
		return "", nil
	}
	revision, err = strconv.Unquote(match)
	if err != nil || revision == "" || none != "" {
		return "", errors.New("standin: no valid condition")
	}
	return revision, nil
}

type writeReply struct {
	status   int
	revision string
	// conflicts are keys whose revision was another one.
	conflicts []string
}

// write runs a write under the lock, subject to the faults of writes.
func (t *Table) write(effect func() writeReply) writeReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.DelayWrites > 0 {
		t.faults.DelayWrites--
		t.writeLater(milliseconds(t.faults.DelayWritesMS), effect)
		dropConnection()
	}
	reply := effect()
	if t.faults.LoseWriteAnswers > 0 {
		t.faults.LoseWriteAnswers--
		dropConnection()
	}
	return reply
}

func (t *Table) writeLater(d time.Duration, effect func() writeReply) {
	time.AfterFunc(d, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		select {
		case <-t.done:
		default:
			effect()
		}
	})
}

// put requires t.mu.
func (t *Table) put(key string, value []byte, condition string) writeReply {
	now := time.Now()
	current, exists := t.rows.get(key, now)
	if exists != (condition != "") || exists && current.revision() != condition {
		return writeReply{status: http.StatusPreconditionFailed}
	}
	status := http.StatusOK
	if !exists {
		status = http.StatusCreated
	}
	return writeReply{status: status, revision: t.rows.write(now, key, value, false).revision()}
}

type deleteRequest struct {
	Rows []deleteRow `json:"rows"`
}

type deleteRow struct {
	Key string `json:"key"`
	// Revision is the expected one; empty deletes any.
	Revision string `json:"revision"`
}

type deleteReply struct {
	Conflicts []string `json:"conflicts,omitempty"`
}

// serveDelete deletes all rows of the request or none. A row that is absent or
// has another revision than the expected one is a conflict.
func (t *Table) serveDelete(w http.ResponseWriter, r *http.Request) {
	var request deleteRequest
	body, err := readBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil || len(request.Rows) == 0 || len(request.Rows) > MaxDeleteRows {
		writeError(w, http.StatusBadRequest, "rows must be JSON with 1 to "+strconv.Itoa(MaxDeleteRows)+" rows")
		return
	}
	t.count(request.Rows[0].Key, 0, 1)
	if !t.admit(w, r) {
		return
	}
	reply := t.write(func() writeReply { return t.deleteRows(request.Rows) })
	writeJSON(w, reply.status, deleteReply{Conflicts: reply.conflicts})
}

// deleteRows requires t.mu.
func (t *Table) deleteRows(rows []deleteRow) writeReply {
	now := time.Now()
	reply := writeReply{status: http.StatusOK}
	for _, row := range rows {
		current, exists := t.rows.get(row.Key, now)
		if row.Revision != "" && (!exists || current.revision() != row.Revision) {
			reply.status = http.StatusPreconditionFailed
			reply.conflicts = append(reply.conflicts, row.Key)
		}
	}
	if reply.status != http.StatusOK {
		return reply
	}
	for _, row := range rows {
		if _, exists := t.rows.get(row.Key, now); exists {
			t.rows.write(now, row.Key, nil, true)
		}
	}
	return reply
}
