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
	DefaultModelBytes       = 1 << 20
	DefaultMaxLoads         = 2
	DefaultWeightRetryAfter = time.Second

	weightChunkBytes = 64 << 10
)

// WeightStoreOptions configure a weight store. The zero value is usable.
type WeightStoreOptions struct {
	// ModelBytes is the size of every model; zero means DefaultModelBytes.
	ModelBytes int
	// BytesPerSecond is the transfer rate of one load; zero means no limit.
	BytesPerSecond int
	// MaxLoads limits concurrent loads; zero means DefaultMaxLoads. A load beyond
	// it is refused with 429 and Retry-After.
	MaxLoads int
	// RetryAfter is sent in Retry-After, rounded up to whole seconds; zero means
	// DefaultWeightRetryAfter.
	RetryAfter time.Duration
	// Faults are in effect from the start.
	Faults WeightStoreFaults
}

// WeightStoreFaults are the faults of a weight store. The zero value means none.
type WeightStoreFaults struct {
	// Down is DownClose or DownUnavailable.
	Down string `json:"down,omitempty"`
	// LatencyMS delays the start of each load, which counts as running during the
	// delay.
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

// WeightStore is a stand-in for the rate-limited weight store. It has every model
// in every version; the content repeats the model's name and version.
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
	opts.ModelBytes = cmp.Or(opts.ModelBytes, DefaultModelBytes)
	opts.MaxLoads = cmp.Or(opts.MaxLoads, DefaultMaxLoads)
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

// Close aborts the loads in progress. It must be called only once.
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

// Stats returns the counters since the store was created.
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
	complete := false
	defer func() { s.release(complete) }()
	if !s.sleep(r, milliseconds(faults.LatencyMS)) {
		dropConnection()
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.opts.ModelBytes))
	if !s.sendContent(w, r, faults.CutAfterBytes) {
		dropConnection()
	}
	complete = true
}

// acquire counts a load as running and returns false when MaxLoads already run.
func (s *WeightStore) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.Running >= s.opts.MaxLoads {
		s.stats.Refused++
		return false
	}
	s.stats.Running++
	s.stats.Peak = max(s.stats.Peak, s.stats.Running)
	return true
}

func (s *WeightStore) release(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	if complete {
		s.stats.Completed++
	}
}

// sendContent writes the content in chunks at the configured rate. It returns
// false when it did not write all of it.
func (s *WeightStore) sendContent(w http.ResponseWriter, r *http.Request, cutAfter int) bool {
	pattern := []byte(r.PathValue("model") + ":" + r.PathValue("version") + "\n")
	chunk := bytes.Repeat(pattern, weightChunkBytes/len(pattern)+1)
	end := s.opts.ModelBytes
	if cutAfter > 0 {
		end = min(end, cutAfter)
	}
	for sent := 0; sent < end; {
		offset := sent % len(pattern)
		size := min(end-sent, len(chunk)-offset)
		if !s.sleep(r, s.sendDuration(size)) {
			return false
		}
		_, err := w.Write(chunk[offset : offset+size])
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return false
		}
		sent += size
	}
	return end == s.opts.ModelBytes
}

// sendDuration returns the time to send a number of bytes at the configured rate.
func (s *WeightStore) sendDuration(size int) time.Duration {
	if s.opts.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(s.opts.BytesPerSecond) * float64(time.Second))
}

// sleep waits for d. It returns false when the client disconnects or the store is
// closed first.
func (s *WeightStore) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-s.done:
		return false
	}
}
