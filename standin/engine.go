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
	// DefaultOrderDuration is the default of EngineOptions.OrderDuration.
	DefaultOrderDuration = 200 * time.Millisecond

	// loadSampleInterval is the time between samples of the load, from which a
	// lagging load report is served. At the sample limit the older half is
	// dropped, so at least 20 s of the past remain for a lag.
	loadSampleInterval = 10 * time.Millisecond
	loadSampleLimit    = 4096
	// publishedCacheEvents is the number of newest cache events that GET
	// /cache/events can return.
	publishedCacheEvents = 8192
	maxOrderRecords      = 10_000
	maxSlowFactor        = 1e6
)

// Values of EngineFaults.Down.
const (
	// DownClose closes each connection without a response.
	DownClose = "close"
	// DownUnavailable answers 503.
	DownUnavailable = "unavailable"
)

// EngineOptions configure a stand-in engine. The zero value is usable.
type EngineOptions struct {
	// Model sets the capacity and the speed.
	Model EngineModelOptions
	// Models names the models served from the start and after each crash; empty
	// means DefaultModel.
	Models []string
	// RefuseOldFencing makes the engine answer 409 to an order whose fencing
	// number is below the highest one seen, and 400 to one without a number.
	// Otherwise fencing numbers are ignored.
	RefuseOldFencing bool
	// OrderDuration is how long an order takes; zero means DefaultOrderDuration.
	OrderDuration time.Duration
	// CacheEventGap omits every CacheEventGap-th cache event from GET
	// /cache/events; zero means that none is omitted.
	CacheEventGap int
	// Faults are in effect from the start.
	Faults EngineFaults
}

// EngineFaults are the faults of an engine. The zero value means none.
type EngineFaults struct {
	// SlowFactor multiplies the duration of each engine step; zero means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Down is DownClose or DownUnavailable for a crashed engine. A change from
	// up to down breaks all streams and discards the cache, the models loaded by
	// order, the role and the highest fencing number. Empty means up.
	Down string `json:"down,omitempty"`
	// CrashMarker crashes the engine with DownClose when it generates the first
	// token for a request whose body contains this text.
	CrashMarker string `json:"crash_marker,omitempty"`
	// RestartAfterMS is the time after which the engine is up again after a crash
	// by CrashMarker; zero means that it stays down until faults are set again.
	RestartAfterMS int `json:"restart_after_ms,omitempty"`
	// ReportLagMS is the age of the load report and of the newest published cache
	// event.
	ReportLagMS int `json:"report_lag_ms,omitempty"`
	// SilenceStreams permanently stops the output of the streams that are open
	// when it is set. They stay open and hold their slots until the client
	// disconnects. New streams are not affected.
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
	// Started counts accepted requests; each ends as one of the next three.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	// Cut counts requests that a crash ended.
	Cut int `json:"cut"`
	// Tokens counts generated tokens, also those of requests that did not complete.
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

	mu           sync.Mutex
	model        *EngineModel
	streams      map[uint64]*stream
	nextID       uint64
	faults       EngineFaults
	eventTimer   *time.Timer
	restartTimer *time.Timer
	closed       bool
	stats        EngineStats
	models       []string
	role         string

	loadHistory history[EngineLoad]
	lastSample  time.Time
	idle        bool
	cacheEvents []CacheEvent

	// orderSlot is a semaphore: one order runs at a time.
	orderSlot      chan struct{}
	highestFencing uint64
	orders         []OrderRecord
}

// NewEngine returns an engine with the given faults in effect. It panics when
// opts.Faults are invalid.
func NewEngine(opts EngineOptions) *Engine {
	if len(opts.Models) == 0 {
		opts.Models = []string{DefaultModel}
	}
	opts.OrderDuration = cmp.Or(opts.OrderDuration, DefaultOrderDuration)
	e := &Engine{
		opts:        opts,
		mux:         http.NewServeMux(),
		model:       NewEngineModel(opts.Model),
		streams:     make(map[uint64]*stream),
		models:      slices.Clone(opts.Models),
		loadHistory: history[EngineLoad]{limit: loadSampleLimit},
		orderSlot:   make(chan struct{}, 1),
	}
	e.eventTimer = time.AfterFunc(time.Hour, e.onEventTimer)
	e.eventTimer.Stop()
	e.addRoutes()
	if err := e.SetFaults(opts.Faults); err != nil {
		panic(err)
	}
	return e
}

func (e *Engine) addRoutes() {
	addFaultRoutes(e.mux, e.Faults, e.SetFaults)
	e.handleWhileUp("GET /health", e.serveHealth)
	e.handleWhileUp("GET /load", e.serveLoad)
	e.handleWhileUp("GET /cache/events", e.serveCacheEvents)
	e.handleWhileUp("GET /v1/models", e.serveModels)
	e.handleWhileUp("POST /v1/chat/completions", e.serveChat)
	e.addOrderRoutes()
	e.mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Orders())
	})
	e.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
}

// handleWhileUp registers a route that fails as Faults.Down says while the engine
// is down.
func (e *Engine) handleWhileUp(pattern string, h http.HandlerFunc) {
	e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if e.respondIfDown(w) {
			return
		}
		h(w, r)
	})
}

// respondIfDown applies the Down fault. It returns true when it has written the
// response, and panics to close the connection for DownClose.
func (e *Engine) respondIfDown(w http.ResponseWriter) bool {
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

// Close breaks all streams and stops the timers.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.breakStreams()
	e.eventTimer.Stop()
	if e.restartTimer != nil {
		e.restartTimer.Stop()
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
	if e.restartTimer != nil {
		e.restartTimer.Stop()
		e.restartTimer = nil
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
			s.notifyChanged()
		}
	}
	e.model.SetSlowFactor(time.Now(), cmp.Or(f.SlowFactor, 1))
	e.resetEventTimer()
	return nil
}

// Stats returns the counters since the engine was created.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// onEventTimer is called by the timer when the model's next event is due.
func (e *Engine) onEventTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	e.resetEventTimer()
}

// advance runs the model until now and notifies streams of their new tokens. It
// samples the load every loadSampleInterval and when the engine becomes idle.
// It requires e.mu.
func (e *Engine) advance(now time.Time) {
	if e.closed {
		return
	}
	for _, event := range e.model.Advance(now) {
		s, ok := e.streams[event.ID]
		if !ok {
			continue
		}
		if s.hasCrashMarker && event.Kind == EventToken {
			e.crashByMarker()
			return
		}
		e.applyEvent(s, event)
	}
	e.cacheEvents = append(e.cacheEvents, e.model.TakeCacheEvents()...)
	if extra := len(e.cacheEvents) - publishedCacheEvents; extra > 0 {
		e.cacheEvents = slices.Clone(e.cacheEvents[extra:])
	}
	e.sampleLoad(now)
}

// applyEvent updates a stream and the counters. It requires e.mu.
func (e *Engine) applyEvent(s *stream, event EngineEvent) {
	switch event.Kind {
	case EventToken:
		s.generated++
		s.cachedTokens = event.CachedTokens
		e.stats.Tokens++
	case EventDone:
		s.done = true
		e.stats.Completed++
		delete(e.streams, s.id)
	case EventPreempted:
		return
	}
	s.notifyChanged()
}

// sampleLoad records the load if a sample is due. It requires e.mu.
func (e *Engine) sampleLoad(now time.Time) {
	load := e.model.Load()
	becameIdle := load.Running == 0 && !e.idle
	if now.Sub(e.lastSample) < loadSampleInterval && !becameIdle {
		return
	}
	e.lastSample = now
	e.idle = load.Running == 0
	e.loadHistory.set(now, load)
}

// resetEventTimer sets the timer for the model's next event. It requires e.mu.
func (e *Engine) resetEventTimer() {
	now := time.Now()
	next := e.model.NextEvent(now)
	if next.IsZero() || e.closed {
		e.eventTimer.Stop()
		return
	}
	e.eventTimer.Reset(max(next.Sub(now), 0))
}

// crashByMarker crashes the engine for a request that contains the crash marker,
// and schedules the restart. It requires e.mu.
func (e *Engine) crashByMarker() {
	e.faults.Down = DownClose
	e.crash()
	if e.faults.RestartAfterMS > 0 {
		e.restartTimer = time.AfterFunc(milliseconds(e.faults.RestartAfterMS), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.restartTimer != nil {
				e.faults.Down = ""
			}
		})
	}
}

// crash breaks all streams and discards the state that a restarted engine does
// not have. It requires e.mu.
func (e *Engine) crash() {
	e.stats.Crashes++
	e.breakStreams()
	e.cacheEvents = nil
	e.models = slices.Clone(e.opts.Models)
	e.role = ""
	e.highestFencing = 0
	e.sampleLoad(time.Now())
}

// breakStreams ends all requests, whose handlers then break their connections. It
// requires e.mu.
func (e *Engine) breakStreams() {
	e.model.Reset()
	e.stats.Cut += len(e.streams)
	for _, s := range e.streams {
		s.cut = true
		s.notifyChanged()
	}
	clear(e.streams)
}

// startRequest adds a request to the model. The hasMarker function reports
// whether the request's body contains the crash marker.
func (e *Engine) startRequest(r EngineRequest, hasMarker func(marker string) bool) (*stream, error) {
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
	s.hasCrashMarker = e.faults.CrashMarker != "" && hasMarker(e.faults.CrashMarker)
	e.streams[r.ID] = s
	e.stats.Started++
	e.resetEventTimer()
	return s, nil
}

// cancelRequest removes a request whose client has disconnected.
func (e *Engine) cancelRequest(s *stream) {
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
	e.resetEventTimer()
}
