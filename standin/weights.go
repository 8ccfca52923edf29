package standin

import (
	"bytes"
	"cmp"
	"errors"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// Defaults of WeightStoreOptions.
	DefaultWeightBytes      = 1 << 20
	DefaultWeightLoads      = 2
	DefaultWeightRetryAfter = time.Second

	weightPieceBytes = 64 << 10
)

// WeightStoreOptions configure a weight store. The zero value is usable.
type WeightStoreOptions struct {
	// Bytes is the size of every model; zero means DefaultWeightBytes.
	Bytes int
	// BytesPerSecond is the pace of one load; zero means no limit.
	BytesPerSecond int
	// Loads bounds concurrent loads; zero means DefaultWeightLoads. A load above
	// it is refused with 429 and Retry-After.
	Loads int
	// RetryAfter is rounded up to seconds; zero means DefaultWeightRetryAfter.
	RetryAfter time.Duration
	// Faults are in effect from the start.
	Faults WeightStoreFaults
}

// WeightStoreFaults are the faults of a weight store. The zero value means none.
type WeightStoreFaults struct {
	// Down is DownClose or DownUnavailable.
	Down string `json:"down,omitempty"`
	// LatencyMS delays the start of each load, which counts as running meanwhile.
	LatencyMS int `json:"latency_ms,omitempty"`
	// CutAfterBytes closes the connection of each load after that many bytes;
	// zero means never.
	CutAfterBytes int `json:"cut_after_bytes,omitempty"`
}

func (f WeightStoreFaults) validate() error {
	if f.CutAfterBytes < 0 {
		return errors.New("standin: cut_after_bytes is negative")
	}
	return cmp.Or(checkMilliseconds(f.LatencyMS), validateDown(f.Down))
}

// WeightStats count the loads of a weight store.
type WeightStats struct {
	Running   int `json:"running"`
	Peak      int `json:"peak"`
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
}

// WeightStore is a stand-in of the rate-limited weight store. It has every
// model in every version; the content repeats the model's name and version.
type WeightStore struct {
	opts WeightStoreOptions
	mux  *http.ServeMux
	done chan struct{}

	mu     sync.Mutex
	faults WeightStoreFaults
	stats  WeightStats
}

// NewWeightStore returns a weight store. It panics when opts.Faults are invalid.
func NewWeightStore(opts WeightStoreOptions) *WeightStore {
	opts.Bytes = cmp.Or(opts.Bytes, DefaultWeightBytes)
	opts.Loads = cmp.Or(opts.Loads, DefaultWeightLoads)
	opts.RetryAfter = cmp.Or(opts.RetryAfter, DefaultWeightRetryAfter)
	s := &WeightStore{opts: opts, mux: http.NewServeMux(), done: make(chan struct{})}
	if err := s.SetFaults(opts.Faults); err != nil {
		panic(err)
	}
	addFaultRoutes(s.mux, s.Faults, s.SetFaults)
	s.mux.HandleFunc("GET /weights/{model}/{version}", s.serveLoad)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	return s
}

// ServeHTTP serves the store's protocol.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close cuts the loads in progress. It is called once.
func (s *WeightStore) Close() {
	close(s.done)
}

// Faults returns the faults in effect.
func (s *WeightStore) Faults() WeightStoreFaults {
	return readFaults(&s.mu, &s.faults)
}

// SetFaults replaces the faults.
func (s *WeightStore) SetFaults(f WeightStoreFaults) error {
	return replaceFaults(&s.mu, &s.faults, f)
}

// Stats returns the counts so far.
func (s *WeightStore) Stats() WeightStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *WeightStore) serveLoad(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	switch faults.Down {
	case DownClose:
		dropConnection()
	case DownUnavailable:
		writeError(w, http.StatusServiceUnavailable, "weight store is down")
		return
	}
	if !s.acquire() {
		seconds := int(math.Ceil(s.opts.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		writeError(w, http.StatusTooManyRequests, "too many concurrent loads")
		return
	}
	whole := false
	defer func() { s.release(whole) }()
	if !s.pause(r, milliseconds(faults.LatencyMS)) {
		dropConnection()
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.opts.Bytes))
	if !s.send(w, r, faults.CutAfterBytes) {
		dropConnection()
	}
	whole = true
}

func (s *WeightStore) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.Running >= s.opts.Loads {
		s.stats.Refused++
		return false
	}
	s.stats.Running++
	s.stats.Peak = max(s.stats.Peak, s.stats.Running)
	return true
}

func (s *WeightStore) release(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	if whole {
		s.stats.Completed++
	}
}

// send writes the content piece by piece at the set pace and returns false when
// it was not written whole.
func (s *WeightStore) send(w http.ResponseWriter, r *http.Request, cutAfter int) bool {
	unit := []byte(r.PathValue("model") + ":" + r.PathValue("version") + "\n")
	piece := bytes.Repeat(unit, weightPieceBytes/len(unit)+1)
	end := s.opts.Bytes
	if cutAfter > 0 {
		end = min(end, cutAfter)
	}
	for sent := 0; sent < end; {
		offset := sent % len(unit)
		size := min(end-sent, len(piece)-offset)
		if !s.pause(r, s.paceOf(size)) {
			return false
		}
		_, err := w.Write(piece[offset : offset+size])
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return false
		}
		sent += size
	}
	return end == s.opts.Bytes
}

// paceOf is the time that a number of bytes takes.
func (s *WeightStore) paceOf(size int) time.Duration {
	if s.opts.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(s.opts.BytesPerSecond) * float64(time.Second))
}

// pause waits and returns false when the client leaves or the store is closed.
func (s *WeightStore) pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-s.done:
		return false
	}
}
