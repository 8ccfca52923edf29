package standin

import (
	"cmp"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// DefaultMaxObjects and DefaultMaxBytes are the defaults of ObjectStoreOptions.
	DefaultMaxObjects = 10_000
	DefaultMaxBytes   = 256 << 20
)

// ObjectStoreOptions configure an object store. The zero value is usable.
type ObjectStoreOptions struct {
	// MaxObjects limits the number of objects; zero means DefaultMaxObjects.
	MaxObjects int
	// MaxBytes limits their total size; zero means DefaultMaxBytes. A write beyond
	// either limit is refused with 507.
	MaxBytes int
	// Faults are in effect from the start.
	Faults ObjectStoreFaults
}

// ObjectStoreFaults are the faults of an object store. The zero value means none.
type ObjectStoreFaults struct {
	// Down is DownClose or DownUnavailable; writes do not take effect.
	Down string `json:"down,omitempty"`
	// LatencyMS delays each call before it takes effect.
	LatencyMS int `json:"latency_ms,omitempty"`
}

func (f ObjectStoreFaults) validate() error {
	return cmp.Or(checkMilliseconds(f.LatencyMS), validateDown(f.Down))
}

// ObjectStore is a stand-in for the object interface of the platform's store. A
// write with If-None-Match: * only creates an object; any other creates or
// replaces it.
type ObjectStore struct {
	opts ObjectStoreOptions
	mux  *http.ServeMux
	done chan struct{}

	mu      sync.Mutex
	faults  ObjectStoreFaults
	objects map[string][]byte
	bytes   int
}

// NewObjectStore returns an empty store. It panics when opts.Faults are invalid.
func NewObjectStore(opts ObjectStoreOptions) *ObjectStore {
	opts.MaxObjects = cmp.Or(opts.MaxObjects, DefaultMaxObjects)
	opts.MaxBytes = cmp.Or(opts.MaxBytes, DefaultMaxBytes)
	s := &ObjectStore{
		opts:    opts,
		mux:     http.NewServeMux(),
		done:    make(chan struct{}),
		objects: make(map[string][]byte),
	}
	if err := s.SetFaults(opts.Faults); err != nil {
		panic(err)
	}
	addFaultRoutes(s.mux, s.Faults, s.SetFaults)
	s.mux.HandleFunc("GET /-/blob-get/{id}", s.serveGet)
	s.mux.HandleFunc("PUT /-/blob-put/{id}", s.servePut)
	s.mux.HandleFunc("DELETE /-/blob-drop/{id}", s.serveDelete)
	return s
}

// ServeHTTP serves the store's protocol.
func (s *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends delayed calls; they have no effect. It must be called only once.
func (s *ObjectStore) Close() {
	close(s.done)
}

// Faults returns the faults in effect.
func (s *ObjectStore) Faults() ObjectStoreFaults {
	return readFaults(&s.mu, &s.faults)
}

// SetFaults replaces the faults.
func (s *ObjectStore) SetFaults(f ObjectStoreFaults) error {
	return replaceFaults(&s.mu, &s.faults, f)
}

// applyFaults applies the faults. It returns false when it has written the response.
func (s *ObjectStore) applyFaults(w http.ResponseWriter) bool {
	faults := s.Faults()
	select {
	case <-time.After(milliseconds(faults.LatencyMS)):
	case <-s.done:
		dropConnection()
	}
	switch faults.Down {
	case DownClose:
		dropConnection()
	case DownUnavailable:
		writeError(w, http.StatusServiceUnavailable, "object store is down")
		return false
	}
	return true
}

func (s *ObjectStore) serveGet(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	found, ok := s.find(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(found)))
	_, _ = w.Write(found)
}

func (s *ObjectStore) find(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[key]
	return found, ok
}

func (s *ObjectStore) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil || r.PathValue("id") == "" {
		writeError(w, http.StatusBadRequest, "the key is empty, or the body is too large or was cut short")
		return
	}
	if !s.applyFaults(w) {
		return
	}
	status := s.put(r.PathValue("id"), data, r.Header.Get("If-None-Match") == "*")
	if status >= http.StatusBadRequest {
		writeError(w, status, "the object was not written")
		return
	}
	w.WriteHeader(status)
}

func (s *ObjectStore) put(key string, data []byte, create bool) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[key]
	if create && exists {
		return http.StatusPreconditionFailed
	}
	size := s.bytes - len(current) + len(data)
	if size > s.opts.MaxBytes || !exists && len(s.objects) >= s.opts.MaxObjects {
		return http.StatusInsufficientStorage
	}
	s.bytes = size
	s.objects[key] = data
	return http.StatusOK
}

func (s *ObjectStore) serveDelete(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	s.remove(r.PathValue("id"))
	w.WriteHeader(http.StatusOK)
}

func (s *ObjectStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= len(s.objects[key])
	delete(s.objects, key)
}
