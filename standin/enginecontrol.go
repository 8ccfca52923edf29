package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// FencingHeader carries an order's fencing number.
const FencingHeader = "X-Fencing-Number"

// OrderRecord is the log entry of one order that an engine received.
type OrderRecord struct {
	Path string `json:"path"`
	// FencingNumber is zero for an order without one.
	FencingNumber uint64          `json:"fencing_number"`
	Body          json.RawMessage `json:"body"`
	// Status is the HTTP status of the response; the order took effect if it is 200.
	Status   int       `json:"status"`
	Received time.Time `json:"received"`
	Ended    time.Time `json:"ended"`
}

// orderBody is the union of the body fields of all orders.
type orderBody struct {
	LoraName string `json:"lora_name"`
	LoraPath string `json:"lora_path"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Role     string `json:"role"`
}

// modelID returns the name under which a model version is served.
func (b orderBody) modelID() string {
	if b.Version == "" {
		return b.Model
	}
	return b.Model + ":" + b.Version
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type cacheEventPage struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of "after" for the next page.
	Next uint64 `json:"next"`
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.reportedLoad(time.Now()))
}

// reportedLoad returns the load as it was ReportLagMS ago. An idle engine takes
// no samples, so the current load is sampled first.
func (e *Engine) reportedLoad(now time.Time) EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	e.resetEventTimer()
	if e.faults.ReportLagMS == 0 {
		return e.model.Load()
	}
	return e.loadHistory.get(now.Add(-milliseconds(e.faults.ReportLagMS)))
}

// serveCacheEvents returns the events with numbers above the query parameter
// "after". Numbers increase by one per event, so that a reader detects gaps.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, "after is not a number")
			return
		}
	}
	writeJSON(w, http.StatusOK, e.cacheEventsAfter(time.Now(), after))
}

func (e *Engine) cacheEventsAfter(now time.Time, after uint64) cacheEventPage {
	e.mu.Lock()
	defer e.mu.Unlock()
	page := cacheEventPage{Events: []CacheEvent{}, Next: after}
	newest := now.Add(-milliseconds(e.faults.ReportLagMS))
	gap := uint64(max(e.opts.CacheEventGap, 0))
	for _, event := range e.cacheEvents {
		if event.Number <= after || event.At.After(newest) {
			continue
		}
		page.Next = event.Number
		if gap == 0 || event.Number%gap != 0 {
			page.Events = append(page.Events, event)
		}
	}
	return page
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, id := range e.Models() {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

// Models returns the names of the models and adapters that the engine serves.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

// Role returns the role set by the last role order since the start or the last
// crash; empty if there was none.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Orders returns the log of received orders, sorted by the time at which they ended.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) addOrderRoutes() {
	e.handleOrder("POST /v1/load_lora_adapter", func(b orderBody) (string, func()) {
		return b.LoraName, func() { e.addModel(b.LoraName) }
	})
	e.handleOrder("POST /v1/unload_lora_adapter", func(b orderBody) (string, func()) {
		return b.LoraName, func() { e.removeModel(b.LoraName) }
	})
	e.handleOrder("POST /models/load", func(b orderBody) (string, func()) {
		return b.Model, func() { e.addModel(b.modelID()) }
	})
	e.handleOrder("POST /models/unload", func(b orderBody) (string, func()) {
		return b.Model, func() { e.removeModel(b.modelID()) }
	})
	e.handleOrder("POST /role", func(b orderBody) (string, func()) {
		return b.Role, func() { e.role = b.Role }
	})
}

func (e *Engine) addModel(id string) {
	if !slices.Contains(e.models, id) {
		e.models = append(e.models, id)
	}
}

func (e *Engine) removeModel(id string) {
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == id })
}

// handleOrder registers an order's route. The order function returns the value of
// the required field, which must not be empty, and the order's effect, which runs
// under the engine's lock.
func (e *Engine) handleOrder(pattern string, order func(orderBody) (string, func())) {
	e.handleWhileUp(pattern, func(w http.ResponseWriter, r *http.Request) {
		record := OrderRecord{Path: r.URL.Path, Received: time.Now()}
		body, err := readBody(w, r)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		var fields orderBody
		if err := json.Unmarshal(body, &fields); err != nil {
			writeError(w, http.StatusBadRequest, "order: "+err.Error())
			return
		}
		required, effect := order(fields)
		if required == "" {
			writeError(w, http.StatusBadRequest, "order: a required field is missing")
			return
		}
		record.Body = body
		if !e.acquireOrderSlot(r) {
			return
		}
		defer func() { <-e.orderSlot }()
		e.runOrder(w, r, record, effect)
	})
}

// acquireOrderSlot waits for earlier orders, since an engine runs one at a time. It
// returns false when the client disconnects first.
func (e *Engine) acquireOrderSlot(r *http.Request) bool {
	select {
	case e.orderSlot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// runOrder checks the fencing number, waits for OrderDuration and applies the
// order. After a crash during the wait, the connection is closed and the order has
// no effect. A client that disconnects does not stop the order.
func (e *Engine) runOrder(w http.ResponseWriter, r *http.Request, record OrderRecord, effect func()) {
	status, message := e.checkFencing(r.Header.Get(FencingHeader), &record)
	if status != http.StatusOK {
		e.finishOrder(record, status, nil)
		writeError(w, status, message)
		return
	}
	crashes := e.Stats().Crashes
	time.Sleep(e.opts.OrderDuration)
	if e.Stats().Crashes != crashes {
		dropConnection()
	}
	e.finishOrder(record, http.StatusOK, effect)
	writeJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"done"})
}

// checkFencing records the order's fencing number. With RefuseOldFencing it
// refuses an order without a number or with one below the highest number seen.
func (e *Engine) checkFencing(header string, record *OrderRecord) (status int, message string) {
	number, err := strconv.ParseUint(header, 10, 64)
	record.FencingNumber = number
	if !e.opts.RefuseOldFencing {
		return http.StatusOK, ""
	}
	if err != nil {
		return http.StatusBadRequest, FencingHeader + " is not a number"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.highestFencing {
		return http.StatusConflict, "the fencing number is old; the highest is " + strconv.FormatUint(e.highestFencing, 10)
	}
	e.highestFencing = number
	return http.StatusOK, ""
}

// finishOrder applies an order's effect, if any, and logs the order. At
// maxOrderRecords, the oldest entry is dropped.
func (e *Engine) finishOrder(record OrderRecord, status int, effect func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if effect != nil {
		effect()
	}
	record.Status = status
	record.Ended = time.Now()
	if len(e.orders) >= maxOrderRecords {
		e.orders = slices.Clone(e.orders[1:])
	}
	e.orders = append(e.orders, record)
}
