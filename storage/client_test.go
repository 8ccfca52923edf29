package storage

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func newTestServer(t *testing.T, h http.HandlerFunc) Options {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return Options{URL: server.URL, Timeout: 2 * time.Second}
}

// Guards against a 429 response that does not yield a RateLimitedError or whose
// Retry-After is not read as seconds, and against a download that still fails once the
// limit is lifted.
func TestWeightsRateLimit(t *testing.T) {
	limited := true
	weights := NewWeightStore(newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if limited {
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		io.WriteString(w, r.URL.Path)
	}))
	var out bytes.Buffer
	var rate *RateLimitedError
	_, err := weights.Fetch(context.Background(), "m", "v2", &out)
	if !errors.As(err, &rate) || rate.RetryAfter != 7*time.Second {
		t.Fatalf("%v, want a rate limit of 7 s", err)
	}
	limited = false
	if _, err := weights.Fetch(context.Background(), "m", "v2", &out); err != nil || out.String() != "/weights/m/v2" {
		t.Fatalf("%v %q", err, out.String())
	}
}

// Guards against a VM list that is read from the wrong path, and against a JSON field
// that is decoded into the wrong field of VM.
func TestVMList(t *testing.T) {
	o := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/vms" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		io.WriteString(w, `{"vms":[{"name":"a","role":"agent","address":"127.0.0.1:1","region":"breizh","availability_zone":"vannes","state":"leaving"}]}`)
	})
	vms, err := NewVMList(o).List(context.Background())
	want := VM{Name: "a", Role: RoleAgent, Address: "127.0.0.1:1", Region: "breizh", AvailabilityZone: "vannes", State: VMLeaving}
	if err != nil || len(vms) != 1 || vms[0] != want {
		t.Fatalf("%v %v", vms, err)
	}
}
