package standin

import (
	"cmp"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultModel is served by an engine whose options name no models.
	DefaultModel = "chat"
	// DefaultOrderDuration is how long an order takes.
	DefaultOrderDuration = 200 * time.Millisecond

	// loadSampleInterval spaces the samples behind the lagging load report;
	// with loadSampleLimit, a lag of 20 s can be reported.
	loadSampleInterval = 10 * time.Millisecond
	loadSampleLimit    = 4096
	// publishedCacheEvents bounds what GET /cache/events can return.
	publishedCacheEvents = 8192
	maxOrderRecords      = 10_000
	maxSlowFactor        = 1e6
)

// Values of EngineFaults.Down.
const (
	// DownClose closes each connection without an answer.
	DownClose = "close"
	// DownUnavailable answers 503.
	DownUnavailable = "unavailable"
)

// EngineOptions configure a stand-in engine. The zero value is usable.
type EngineOptions struct {
	// Model is the capacity and pace.
	Model EngineModelOptions
	// Models are served from the start and after each crash; empty means DefaultModel.
	Models []string
	// RefuseOldFencing makes the engine answer 409 to an order whose fencing
	// number is below the highest one seen, and 400 to one without a number.
	// Otherwise numbers are ignored.
	RefuseOldFencing bool
	// OrderDuration is how long an order takes; zero means DefaultOrderDuration.
	OrderDuration time.Duration
	// CacheEventGap drops every CacheEventGap-th cache event from the published
	// ones; zero means that none is dropped.
	CacheEventGap int
	// Faults are in effect from the start.
	Faults EngineFaults
}

// EngineFaults are the faults of an engine. The zero value means none.
type EngineFaults struct {
	// SlowFactor multiplies the duration of each step; zero means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Down is DownClose or DownUnavailable for a crashed engine. A change from
	// up to down cuts all streams and loses the cache, the models loaded by
	// order, the role and the highest fencing number. Empty means up.
	Down string `json:"down,omitempty"`
	// CrashMarker crashes the engine with DownClose when it generates the first
	// token for a request whose body contains this text.
	CrashMarker string `json:"crash_marker,omitempty"`
	// RestartAfterMS ends a crash by CrashMarker; zero means that the engine
	// stays down until faults are set again.
	RestartAfterMS int `json:"restart_after_ms,omitempty"`
	// ReportLagMS is the age of the load report and of the newest cache event.
	ReportLagMS int `json:"report_lag_ms,omitempty"`
	// SilenceStreams makes the streams that are open when it is set silent for
	// good. They stay open and hold their slots until the client leaves. New
	// streams are not affected.
	SilenceStreams bool `json:"silence_streams,omitempty"`
}

func (f EngineFaults) validate() error {
	if f.SlowFactor < 0 || f.SlowFactor > maxSlowFactor || math.IsNaN(f.SlowFactor) {
		return errFaultRange
	}
	if err := checkMilliseconds(f.RestartAfterMS, f.ReportLagMS); err != nil {
		return err
	}
	return validateDown(f.Down)
}

func validateDown(down string) error {
	if down != "" && down != DownClose && down != DownUnavailable {
		return errors.New("standin: down is none of \"\", close, unavailable")
	}
	return nil
}

// EngineStats count requests and tokens since the engine was created.
type EngineStats struct {
	// Started requests have been accepted; each ends in one of the next three.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	// Cut requests were lost in a crash.
	Cut int `json:"cut"`
	// Tokens were generated, also for requests that did not complete.
	Tokens  int `json:"tokens"`
	Crashes int `json:"crashes"`
}

// Engine is a stand-in model engine. It serves POST /v1/chat/completions,
// GET /v1/models, /health, /load, /cache/events, /orders and /stats, and the
// orders POST /v1/load_lora_adapter, /v1/unload_lora_adapter, /models/load,
// /models/unload and /role.
type Engine struct {
	opts EngineOptions
	mux  *http.ServeMux

	mu      sync.Mutex
	model   *EngineModel
	streams map[uint64]*stream
	nextID  uint64
	faults  EngineFaults
	timer   *time.Timer
	restart *time.Timer
	closed  bool
	stats   EngineStats
	models  []string
	role    string

	loads       history[EngineLoad]
	lastSample  time.Time
	idle        bool
	cacheEvents []CacheEvent

	orderTurn      chan struct{}
	highestFencing uint64
	orders         []OrderRecord
}

// NewEngine returns an engine that is up. It panics when opts.Faults are invalid.
func NewEngine(opts EngineOptions) *Engine {
	if len(opts.Models) == 0 {
		opts.Models = []string{DefaultModel}
	}
	opts.OrderDuration = cmp.Or(opts.OrderDuration, DefaultOrderDuration)
	e := &Engine{
		opts:      opts,
		mux:       http.NewServeMux(),
		model:     NewEngineModel(opts.Model),
		streams:   make(map[uint64]*stream),
		models:    slices.Clone(opts.Models),
		loads:     history[EngineLoad]{limit: loadSampleLimit},
		orderTurn: make(chan struct{}, 1),
	}
	e.timer = time.AfterFunc(time.Hour, e.tick)
	e.timer.Stop()
	e.addRoutes()
	if err := e.SetFaults(opts.Faults); err != nil {
		panic(err)
	}
	return e
}

func (e *Engine) addRoutes() {
	addFaultRoutes(e.mux, e.Faults, e.SetFaults)
	e.handle("GET /health", e.serveHealth)
	e.handle("GET /load", e.serveLoad)
	e.handle("GET /cache/events", e.serveCacheEvents)
	e.handle("GET /v1/models", e.serveModels)
	e.handle("POST /v1/chat/completions", e.serveChat)
	e.addOrderRoutes()
	e.mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Orders())
	})
	e.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
}

// handle adds a route that fails while the engine is down.
func (e *Engine) handle(pattern string, h http.HandlerFunc) {
	e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if e.serveDown(w) {
			return
		}
		h(w, r)
	})
}

func (e *Engine) serveDown(w http.ResponseWriter) bool {
	switch e.Faults().Down {
	case DownClose:
		dropConnection()
	case DownUnavailable:
		writeError(w, http.StatusServiceUnavailable, "engine is down")
		return true
	}
	return false
}

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Close cuts all streams and stops the timers.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.cutAll()
	e.timer.Stop()
	if e.restart != nil {
		e.restart.Stop()
	}
}

// Faults returns the faults in effect.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults. With Down empty, a crashed engine is up again.
func (e *Engine) SetFaults(f EngineFaults) error {
	if err := f.validate(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restart != nil {
		e.restart.Stop()
		e.restart = nil
	}
	e.advance(time.Now())
	wasUp := e.faults.Down == ""
	e.faults = f
	if f.Down != "" && wasUp {
		e.crash()
	}
	if f.SilenceStreams {
		for _, s := range e.streams {
			s.silent = true
			s.notify()
		}
	}
	e.model.SetFactor(time.Now(), cmp.Or(f.SlowFactor, 1))
	e.arm()
	return nil
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// tick is called by the timer when the model's next event is due.
func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	e.arm()
}

// advance runs the model and tells streams about their tokens. It leaves a load
// sample every loadSampleInterval and when it becomes idle.
func (e *Engine) advance(now time.Time) {
	if e.closed {
		return
	}
	for _, event := range e.model.Advance(now) {
		s, ok := e.streams[event.ID]
		if !ok {
			continue
		}
		if s.marked && event.Kind == EventToken {
			e.crashByMarker()
			return
		}
		e.apply(s, event)
	}
	e.cacheEvents = append(e.cacheEvents, e.model.TakeCacheEvents()...)
	if extra := len(e.cacheEvents) - publishedCacheEvents; extra > 0 {
		e.cacheEvents = slices.Clone(e.cacheEvents[extra:])
	}
	e.sampleLoad(now)
}

func (e *Engine) apply(s *stream, event EngineEvent) {
	switch event.Kind {
	case EventToken:
		s.produced++
		s.cachedTokens = event.CachedTokens
		e.stats.Tokens++
	case EventDone:
		s.done = true
		e.stats.Completed++
		delete(e.streams, s.id)
	case EventPreempted:
		return
	}
	s.notify()
}

func (e *Engine) sampleLoad(now time.Time) {
	load := e.model.Load()
	becameIdle := load.Running == 0 && !e.idle
	if now.Sub(e.lastSample) < loadSampleInterval && !becameIdle {
		return
	}
	e.lastSample = now
	e.idle = load.Running == 0
	e.loads.set(now, load)
}

// arm sets the timer for the model's next event.
func (e *Engine) arm() {
	now := time.Now()
	next := e.model.NextEvent(now)
	if next.IsZero() || e.closed {
		e.timer.Stop()
		return
	}
	e.timer.Reset(max(next.Sub(now), 0))
}

func (e *Engine) crashByMarker() {
	e.faults.Down = DownClose
	e.crash()
	if e.faults.RestartAfterMS > 0 {
		e.restart = time.AfterFunc(milliseconds(e.faults.RestartAfterMS), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.restart != nil {
				e.faults.Down = ""
			}
		})
	}
}

func (e *Engine) crash() {
	e.stats.Crashes++
	e.cutAll()
	e.cacheEvents = nil
	e.models = slices.Clone(e.opts.Models)
	e.role = ""
	e.highestFencing = 0
	e.sampleLoad(time.Now())
}

func (e *Engine) cutAll() {
	e.model.Reset()
	e.stats.Cut += len(e.streams)
	for _, s := range e.streams {
		s.cut = true
		s.notify()
	}
	clear(e.streams)
}

// begin puts a request into the model.
func (e *Engine) begin(r EngineRequest, marked func(marker string) bool) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, errClosed
	}
	now := time.Now()
	e.advance(now)
	if e.faults.Down != "" {
		return nil, errEngineDown
	}
	e.nextID++
	r.ID = e.nextID
	if err := e.model.Add(now, r); err != nil {
		return nil, err
	}
	s := &stream{id: r.ID, changed: make(chan struct{}, 1)}
	s.marked = e.faults.CrashMarker != "" && marked(e.faults.CrashMarker)
	e.streams[r.ID] = s
	e.stats.Started++
	e.arm()
	return s, nil
}

// cancel removes a request whose client has gone.
func (e *Engine) cancel(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[s.id]; !ok {
		return
	}
	now := time.Now()
	e.advance(now)
	if e.model.Cancel(now, s.id) {
		delete(e.streams, s.id)
		e.stats.Cancelled++
	}
	e.arm()
}
