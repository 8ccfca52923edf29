// Package standin holds test doubles ("stand-ins") of the platform: a model
// engine, plain services, the table service, the object store, the VM list and
// the weight store. Each is an http.Handler that implements the published
// protocol, can be used in process or served by a daemon, and supports fault
// injection through SetFaults or POST /faults. GET /faults returns the faults in
// effect. Setting faults replaces all earlier ones.
//
// A handler that has to break a connection panics with http.ErrAbortHandler,
// which makes the HTTP server close the connection.
package standin

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	maxFaultBytes = 64 << 10
	maxFaultTime  = 24 * time.Hour
	// maxBodyBytes limits a request body. A chat body of up to 4 MiB may be
	// extended by the text generated so far, which a resumed request carries.
	maxBodyBytes = 8 << 20
)

var (
	errClosed     = errors.New("standin: closed")
	errEngineDown = errors.New("standin: engine is down")
)

var errFaultRange = errors.New("standin: a fault's number is negative or its time above a day")

// checkMilliseconds checks that durations of faults, in milliseconds, are not
// negative and not above maxFaultTime.
func checkMilliseconds(times ...int) error {
	for _, n := range times {
		if n < 0 || milliseconds(n) > maxFaultTime {
			return errFaultRange
		}
	}
	return nil
}

// faultSet is a struct of fault settings that can validate its own values.
type faultSet interface {
	validate() error
}

// readFaults returns a copy of the fault settings that mu guards.
func readFaults[F faultSet](mu sync.Locker, current *F) F {
	mu.Lock()
	defer mu.Unlock()
	return *current
}

// replaceFaults validates next and replaces the fault settings that mu guards.
func replaceFaults[F faultSet](mu sync.Locker, current *F, next F) error {
	if err := next.validate(); err != nil {
		return err
	}
	mu.Lock()
	defer mu.Unlock()
	*current = next
	return nil
}

// addFaultRoutes registers GET and POST /faults.
func addFaultRoutes[F faultSet](mux *http.ServeMux, get func() F, set func(F) error) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, get())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults F
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&faults); err != nil {
			writeError(w, http.StatusBadRequest, "faults: "+err.Error())
			return
		}
		if err := set(faults); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, get())
	})
}

// errorBody is the OpenAI error format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	errorType := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		errorType = "server_error"
	}
	writeJSON(w, status, errorBody{errorDetail{Message: message, Type: errorType, Code: status}})
}

// writeJSON writes v as the response. It ignores a failed write: the client has
// disconnected and cannot receive an error either.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

// dropConnection aborts the handler and closes the connection without a response.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

// milliseconds converts n to a duration and saturates instead of overflowing.
func milliseconds(n int) time.Duration {
	return time.Duration(min(n, math.MaxInt64/int(time.Millisecond))) * time.Millisecond
}

// history keeps the timestamped past values of a variable, so that a report can
// return the value as it was some time ago.
type history[T any] struct {
	samples []sample[T]
	limit   int
}

type sample[T any] struct {
	at    time.Time
	value T
}

// set records a value. When the limit is reached, the older half of the samples
// is dropped.
func (h *history[T]) set(at time.Time, value T) {
	if h.limit > 0 && len(h.samples) >= h.limit {
		h.samples = append(h.samples[:0], h.samples[len(h.samples)/2:]...)
	}
	h.samples = append(h.samples, sample[T]{at, value})
}

// get returns the value as it was at the given time, or the oldest recorded one
// if that is newer. At least one value must have been recorded.
func (h *history[T]) get(at time.Time) T {
	for _, s := range slices.Backward(h.samples) {
		if !s.at.After(at) {
			return s.value
		}
	}
	return h.samples[0].value
}
