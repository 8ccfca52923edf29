package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// DefaultServiceLogLimit is the default of ServiceOptions.LogLimit.
const DefaultServiceLogLimit = 100_000

// ServiceOptions configure a plain service. The zero value is usable.
type ServiceOptions struct {
	// Delay is the duration of each call before it takes effect.
	Delay time.Duration
	// Stock is how many bookings the booking service accepts; zero means no limit.
	Stock int
	// LogLimit is the maximum number of entries of the call log. A call beyond it is
	// refused with 507 and does not run, so that the log contains every call that
	// ran. Zero means DefaultServiceLogLimit.
	LogLimit int
	// Faults are in effect from the start.
	Faults ServiceFaults
}

// ServiceFaults are the faults of a plain service. The zero value means none.
type ServiceFaults struct {
	// DelayMS is added to the delay of each call.
	DelayMS int `json:"delay_ms,omitempty"`
	// Down is DownClose or DownUnavailable; calls do not run.
	Down string `json:"down,omitempty"`
	// LoseAnswers is the number of next calls that run but whose connection is
	// closed without a response.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

func (f ServiceFaults) validate() error {
	if f.LoseAnswers < 0 {
		return errFaultRange
	}
	return cmp.Or(checkMilliseconds(f.DelayMS), validateDown(f.Down))
}

// ServiceCall is the log entry of one call that ran.
type ServiceCall struct {
	ID     string    `json:"id"`
	At     time.Time `json:"at"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	// IdempotencyKey is empty for a call without the header.
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Body           json.RawMessage `json:"body"`
}

// serviceStock is the response of GET /stock.
type serviceStock struct {
	Booked int `json:"booked"`
	// Left is -1 without a limit.
	Left int `json:"left"`
}

// Service is a plain HTTP service, a ledger or a booking service, whose calls are
// not idempotent and must not be repeated. It does not deduplicate; the log has
// every call that ran.
type Service struct {
	opts ServiceOptions
	mux  *http.ServeMux
	done chan struct{}

	mu     sync.Mutex
	faults ServiceFaults
	log    []ServiceCall
	byID   map[string]int
}

// NewLedger returns a service with POST /charges and GET /charges/{id}. It
// panics when opts.Faults are invalid.
func NewLedger(opts ServiceOptions) *Service {
	s := newService(opts)
	s.mux.HandleFunc("POST /charges", func(w http.ResponseWriter, r *http.Request) {
		s.serveCall(w, r, "charge-")
	})
	s.mux.HandleFunc("GET /charges/{id}", s.serveGet)
	return s
}

// NewBooking returns a service with POST /bookings, GET /bookings/{id} and
// GET /stock. It panics when opts.Faults are invalid.
func NewBooking(opts ServiceOptions) *Service {
	s := newService(opts)
	s.mux.HandleFunc("POST /bookings", func(w http.ResponseWriter, r *http.Request) {
		s.serveCall(w, r, "booking-")
	})
	s.mux.HandleFunc("GET /bookings/{id}", s.serveGet)
	s.mux.HandleFunc("GET /stock", s.serveStock)
	return s
}

func newService(opts ServiceOptions) *Service {
	opts.LogLimit = cmp.Or(opts.LogLimit, DefaultServiceLogLimit)
	s := &Service{
		opts: opts,
		mux:  http.NewServeMux(),
		done: make(chan struct{}),
		byID: make(map[string]int),
	}
	if err := s.SetFaults(opts.Faults); err != nil {
		panic(err)
	}
	addFaultRoutes(s.mux, s.Faults, s.SetFaults)
	s.mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Log())
	})
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if !s.respondIfDown(w) {
			w.WriteHeader(http.StatusOK)
		}
	})
	return s
}

// ServeHTTP serves the service's protocol.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close aborts calls that are still in their delay; they do not run. It must be
// called only once.
func (s *Service) Close() {
	close(s.done)
}

// Faults returns the faults in effect, with the number of responses still to lose.
func (s *Service) Faults() ServiceFaults {
	return readFaults(&s.mu, &s.faults)
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) error {
	return replaceFaults(&s.mu, &s.faults, f)
}

// Log returns every call that ran, in the order of execution.
func (s *Service) Log() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}

// RunsByKey returns the number of calls that ran for each Idempotency-Key. Calls
// without a key are counted under the empty key.
func (s *Service) RunsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int)
	for _, call := range s.log {
		runs[call.IdempotencyKey]++
	}
	return runs
}

// respondIfDown applies the Down fault. It returns true when it has written the
// response, and panics to close the connection for DownClose.
func (s *Service) respondIfDown(w http.ResponseWriter) bool {
	switch s.Faults().Down {
	case DownClose:
		dropConnection()
	case DownUnavailable:
		writeError(w, http.StatusServiceUnavailable, "service is down")
		return true
	}
	return false
}

// serveCall runs a call after its delay, even if the client has disconnected.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, prefix string) {
	if s.respondIfDown(w) {
		return
	}
	body, err := readBody(w, r)
	if err != nil || !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "the body is not valid JSON")
		return
	}
	select {
	case <-time.After(s.opts.Delay + milliseconds(s.Faults().DelayMS)):
	case <-s.done:
		dropConnection()
	}
	call := ServiceCall{
		At:             time.Now(),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Body:           body,
	}
	call, status, loseAnswer := s.recordCall(call, prefix)
	if loseAnswer {
		dropConnection()
	}
	if status != http.StatusCreated {
		writeError(w, status, "the call did not run")
		return
	}
	w.Header().Set("Location", call.Path+"/"+call.ID)
	writeJSON(w, status, call)
}

// recordCall appends the call to the log, which is its execution, and returns
// whether its response is to be lost. The status is 201, the status of a refused
// call that did not run, or 0 when the response is to be lost.
func (s *Service) recordCall(call ServiceCall, prefix string) (recorded ServiceCall, status int, loseAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Stock > 0 && len(s.log) >= s.opts.Stock {
		return call, http.StatusConflict, false
	}
	if len(s.log) >= s.opts.LogLimit {
		return call, http.StatusInsufficientStorage, false
	}
	call.ID = prefix + strconv.Itoa(len(s.log)+1)
	s.byID[call.ID] = len(s.log)
	s.log = append(s.log, call)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return call, 0, true
	}
	return call, http.StatusCreated, false
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	if s.respondIfDown(w) {
		return
	}
	call, ok := s.find(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, "not found")
		return
	}
	writeJSON(w, http.StatusOK, call)
}

func (s *Service) find(id string) (ServiceCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.byID[id]
	if !ok {
		return ServiceCall{}, false
	}
	return s.log[i], true
}

func (s *Service) serveStock(w http.ResponseWriter, _ *http.Request) {
	if s.respondIfDown(w) {
		return
	}
	stock := serviceStock{Booked: len(s.Log()), Left: -1}
	if s.opts.Stock > 0 {
		stock.Left = s.opts.Stock - stock.Booked
	}
	writeJSON(w, http.StatusOK, stock)
}
