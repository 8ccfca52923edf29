package standin

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// MaxTransactionRows limits the entries of one transaction.
	MaxTransactionRows = 100
	// MaxListRows is the maximum and the default number of rows in one page.
	MaxListRows = 500
	// MaxRowBytes limits a row's value.
	MaxRowBytes = 400 << 10
	// maxFeedWait limits the wait of GET /-/rows-feed.
	maxFeedWait = 30 * time.Second
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
	// Hang leaves calls without a response until the client disconnects. Writes do
	// not take effect.
	Hang bool `json:"hang,omitempty"`
	// LatencyMS delays each call before it takes effect.
	LatencyMS int `json:"latency_ms,omitempty"`
	// LoseWriteAnswers is the number of next writes that take effect and whose
	// connection is then closed without a response.
	LoseWriteAnswers int `json:"lose_write_answers,omitempty"`
	// DelayWrites is the number of next writes whose connection is closed at
	// once and that are applied DelayWritesMS later, with their condition checked
	// then. It takes precedence over LoseWriteAnswers.
	DelayWrites   int `json:"delay_writes,omitempty"`
	DelayWritesMS int `json:"delay_writes_ms,omitempty"`
	// ReadLagMS makes GET /-/rows-get return the rows as they were that long
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
// under the first row that it changes, and a feed is a read counted under the name
// of its table. Calls answered with 412 are counted too.
type TableCount struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Table is a stand-in for the row interface of the platform's store. It serves
// GET /-/rows-get, GET /-/rows-feed, POST /-/rows-tx and, for tests, GET /counts.
// The version of a row is the revision at which it was last written; each committed
// transaction increases the revision, which the whole store shares.
type Table struct {
	mux  *http.ServeMux
	done chan struct{}
	// startedAt is the zero point of the server time that responses state.
	startedAt time.Time

	mu     sync.Mutex
	rows   rowSet
	faults TableFaults
	counts map[string]TableCount
	// changed is closed and replaced by each transaction, to wake waiting feeds.
	changed chan struct{}
}

// NewTable returns an empty table. It panics when opts.Faults are invalid.
func NewTable(opts TableOptions) *Table {
	t := &Table{
		mux:       http.NewServeMux(),
		done:      make(chan struct{}),
		startedAt: time.Now(),
		counts:    make(map[string]TableCount),
		changed:   make(chan struct{}),
	}
	if err := t.SetFaults(opts.Faults); err != nil {
		panic(err)
	}
	addFaultRoutes(t.mux, t.Faults, t.SetFaults)
	t.mux.HandleFunc("GET /-/rows-get", t.serveGet)
	t.mux.HandleFunc("GET /-/rows-feed", t.serveFeed)
	t.mux.HandleFunc("POST /-/rows-tx", t.serveTransaction)
	t.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Counts())
	})
	return t
}

// ServeHTTP serves the table's protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mux.ServeHTTP(w, r)
}

// Close ends hanging calls and waiting feeds; delayed writes no longer take effect.
// It must be called only once.
func (t *Table) Close() {
	close(t.done)
}

// Faults returns the faults in effect, with the numbers of writes that they still
// affect.
func (t *Table) Faults() TableFaults {
	return readFaults(&t.mu, &t.faults)
}

// SetFaults replaces the faults. Calls that already hang continue to hang.
func (t *Table) SetFaults(f TableFaults) error {
	return replaceFaults(&t.mu, &t.faults, f)
}

// Counts returns the number of calls by the first path element of the key. Calls
// during Down and Hang are counted too.
func (t *Table) Counts() map[string]TableCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// countCall counts a call under the first path element of a key or prefix.
func (t *Table) countCall(key string, reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	element, _, _ := strings.Cut(key, "/")
	c := t.counts[element]
	c.Reads += reads
	c.Writes += writes
	t.counts[element] = c
}

// applyFaults applies the faults that act before the call takes effect. It returns
// false when it has written the response.
func (t *Table) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	faults := t.Faults()
	if faults.Hang {
		select {
		case <-r.Context().Done():
		case <-t.done:
		}
		dropConnection()
	}
	if !t.sleep(milliseconds(faults.LatencyMS)) {
		dropConnection()
	}
	if faults.Down {
		writeError(w, http.StatusServiceUnavailable, "table service is down")
		return false
	}
	return true
}

// sleep waits for d. It returns false when the table is closed first.
func (t *Table) sleep(d time.Duration) bool {
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

// rowID identifies a row in the store. Part names the partition within the table.
type rowID struct {
	Table string `json:"tableName"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// rowSeparator separates table, partition and key in the storage key, so that the
// rows of a partition are adjacent in the key order. It does not occur in names.
const rowSeparator = "\x01"

func (n rowID) partitionPrefix() string { return n.Table + rowSeparator + n.Part + rowSeparator }

func (n rowID) storageKey() string { return n.partitionPrefix() + n.Key }

func parseRowID(storageKey string) rowID {
	table, rest, _ := strings.Cut(storageKey, rowSeparator)
	part, key, _ := strings.Cut(rest, rowSeparator)
	return rowID{Table: table, Part: part, Key: key}
}

func (n rowID) valid() bool {
	const maxName = 200
	for _, component := range []string{n.Table, n.Part, n.Key} {
		if len(component) > maxName || strings.Contains(component, rowSeparator) {
			return false
		}
	}
	return n.Table != "" && n.Key != ""
}

// rowBody is a row in requests and responses.
type rowBody struct {
	rowID
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"rowVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsResponse struct {
	Rows         []rowBody `json:"rows,omitempty"`
	More         bool      `json:"hasMore"`
	Version      uint64    `json:"rowVersion"`
	ServerTimeMS int64     `json:"serverTimeMs"`
}

// newResponse returns a response with the current revision and server time. It
// requires t.mu.
func (t *Table) newResponse() rowsResponse {
	return rowsResponse{Version: t.rows.revision, ServerTimeMS: time.Since(t.startedAt).Milliseconds()}
}

// parseNonNegative parses an optional integer that must not be negative; an empty
// text gives the default unset.
func parseNonNegative(text string, unset int) (int, error) {
	if text == "" {
		return unset, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, errors.New("standin: " + strconv.Quote(text) + " is not a number from 0")
	}
	return n, nil
}

// readTime returns the time whose rows reads see. It requires t.mu.
func (t *Table) readTime() time.Time {
	return time.Now().Add(-milliseconds(t.faults.ReadLagMS))
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	t.countCall(query.Get("from"), 1, 0)
	limit, err := parseNonNegative(query.Get("maxItems"), MaxListRows)
	if err != nil || limit == 0 || query.Get("tableName") == "" {
		writeError(w, http.StatusBadRequest, "tableName is required and maxItems a positive number")
		return
	}
	if !t.applyFaults(w, r) {
		return
	}
	partition := rowID{Table: query.Get("tableName"), Part: query.Get("part")}
	writeJSON(w, http.StatusOK, t.listRows(partition, query.Get("from"), query.Get("to"), min(limit, MaxListRows)))
}

func (t *Table) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	t.countCall(query.Get("tableName"), 1, 0)
	since, err := strconv.ParseUint(query.Get("sinceRevision"), 10, 64)
	wait, waitErr := parseNonNegative(query.Get("waitMs"), 0)
	if err != nil || waitErr != nil || query.Get("tableName") == "" {
		writeError(w, http.StatusBadRequest, "tableName and sinceRevision are required")
		return
	}
	if !t.applyFaults(w, r) {
		return
	}
	until := time.NewTimer(min(milliseconds(wait), maxFeedWait))
	defer until.Stop()
	for {
		page, compacted, changed := t.changesSince(query.Get("tableName"), since)
		if compacted {
			writeError(w, http.StatusGone, "the history is no longer kept")
			return
		}
		if len(page.Rows) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			writeJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			dropConnection()
		case <-t.done:
			dropConnection()
		}
	}
}

// changesSince returns the newest state of the rows of a table that changed after
// revision since, in the order of their changes. It returns compacted when the
// history no longer reaches back that far, and otherwise a channel that is closed
// at the next transaction.
func (t *Table) changesSince(table string, since uint64) (page rowsResponse, compacted bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page = t.newResponse()
	if since < t.rows.compactedRevision {
		return page, true, nil
	}
	for _, row := range t.rows.rows {
		id := parseRowID(row.storageKey)
		last := row.versions[len(row.versions)-1]
		if id.Table == table && last.revision > since {
			page.Rows = append(page.Rows, rowBody{rowID: id, Data: last.value, Version: last.revision, Deleted: last.deleted})
		}
	}
	slices.SortFunc(page.Rows, func(a, b rowBody) int { return cmp.Compare(a.Version, b.Version) })
	return page, false, t.changed
}

// transaction is a conditional change of rows. In Expected, version 0 means that
// the row must not exist.
type transaction struct {
	Expected []rowBody `json:"expected"`
	Write    []rowBody `json:"write"`
	Remove   []rowBody `json:"remove"`
}

func (tx *transaction) valid() bool {
	all := slices.Concat(tx.Expected, tx.Write, tx.Remove)
	if len(all) == 0 || len(all) > MaxTransactionRows {
		return false
	}
	for _, row := range all {
		if !row.valid() || row.Part != all[0].Part || len(row.Data) > MaxRowBytes {
			return false
		}
	}
	return true
}

// countedKey returns the key under which the transaction is counted.
func (tx *transaction) countedKey() string {
	if changed := slices.Concat(tx.Write, tx.Remove); len(changed) > 0 {
		return changed[0].Key
	}
	return ""
}

func (t *Table) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	body, err := readBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, &tx)
	}
	if err != nil || !tx.valid() {
		writeError(w, http.StatusBadRequest, "the transaction is malformed or above its bounds")
		return
	}
	t.countCall(tx.countedKey(), 0, 1)
	if !t.applyFaults(w, r) {
		return
	}
	result := t.write(func() writeResult { return t.commit(&tx) })
	writeJSON(w, result.status, result.response)
}

type writeResult struct {
	status   int
	response rowsResponse
}

// write runs a write under the lock and applies the faults of writes.
func (t *Table) write(effect func() writeResult) writeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.DelayWrites > 0 {
		t.faults.DelayWrites--
		t.delayWrite(milliseconds(t.faults.DelayWritesMS), effect)
		dropConnection()
	}
	result := effect()
	if t.faults.LoseWriteAnswers > 0 {
		t.faults.LoseWriteAnswers--
		dropConnection()
	}
	return result
}

func (t *Table) delayWrite(d time.Duration, effect func() writeResult) {
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

// commit applies a transaction atomically, or reports a conflict with 412 and the
// current rows. It requires t.mu.
func (t *Table) commit(tx *transaction) writeResult {
	now := time.Now()
	conflict := false
	var current []rowBody
	for _, row := range tx.Expected {
		v, exists := t.rows.get(row.storageKey(), now)
		if exists != (row.Version > 0) || exists && v.revision != row.Version {
			conflict = true
		}
		if exists {
			current = append(current, rowBody{rowID: row.rowID, Data: v.value, Version: v.revision})
		}
	}
	if conflict {
		response := t.newResponse()
		response.Rows = current
		return writeResult{status: http.StatusPreconditionFailed, response: response}
	}
	t.rows.revision++
	for _, row := range tx.Write {
		t.rows.write(now, row.storageKey(), row.Data, false)
	}
	for _, row := range tx.Remove {
		if _, exists := t.rows.get(row.storageKey(), now); exists {
			t.rows.write(now, row.storageKey(), nil, true)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return writeResult{status: http.StatusOK, response: t.newResponse()}
}

// Compact discards the history of changes: a feed from an earlier revision is
// answered with 410, and its reader must list the rows again.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows.compactedRevision = t.rows.revision
}
