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

func serve(t *testing.T, h http.HandlerFunc) Options {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return Options{URL: server.URL, Timeout: 2 * time.Second}
}

// Guards against a write reported as certainly without effect although it may
// have taken effect, and against the reverse, for every answer of the service.
func TestPutClassifiesAnswers(t *testing.T) {
	cases := []struct {
		name   string
		status int
		etag   string
		want   error
	}{
		{"created", 201, `"r1"`, nil},
		{"replaced", 200, `"r1"`, nil},
		{"no etag", 200, "", ErrOutcomeUnknown},
		{"conflict", 412, "", ErrConflict},
		{"refused", 503, "", ErrUnavailable},
		{"throttled", 429, "", ErrUnavailable},
		{"server error", 500, "", ErrOutcomeUnknown},
		{"gateway timeout", 504, "", ErrOutcomeUnknown},
		{"redirect", 307, "", ErrRejected},
		{"bad request", 400, "", ErrRejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(serve(t, func(w http.ResponseWriter, r *http.Request) {
				if c.etag != "" {
					w.Header().Set("ETag", c.etag)
				}
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
			}))
			row, err := table.Put(context.Background(), "a/b", []byte("v"), "r0")
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if err == nil && row.Revision != "r1" {
				t.Fatalf("revision %q, want r1", row.Revision)
			}
		})
	}
}

// Guards against a lost answer taken for a write without effect, and against a
// refused connection taken for an unknown outcome.
func TestPutDistinguishesLostAnswerFromRefusedConnection(t *testing.T) {
	o := serve(t, func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) })
	if _, err := NewTable(o).Put(context.Background(), "a", nil, ""); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("lost answer: %v, want %v", err, ErrOutcomeUnknown)
	}
	if _, err := NewTable(o).Get(context.Background(), "a"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("lost answer of a read: %v, want %v", err, ErrUnavailable)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	o.URL = closed.URL
	if _, err := NewTable(o).Put(context.Background(), "a", nil, ""); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("refused connection: %v, want %v", err, ErrUnavailable)
	}
}

// Guards against a call that outlives its timeout on a silent service.
func TestSilentServiceTimesOut(t *testing.T) {
	release := make(chan struct{})
	o := serve(t, func(w http.ResponseWriter, r *http.Request) { <-release })
	defer close(release)
	o.Timeout = 20 * time.Millisecond
	if _, err := NewTable(o).Put(context.Background(), "a", nil, ""); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("%v, want %v", err, ErrOutcomeUnknown)
	}
}

// Guards against conditional headers, escaping and page parameters that differ
// from the protocol.
func TestRequestsOnTheWire(t *testing.T) {
	var got *http.Request
	var body []byte
	table := NewTable(serve(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("ETag", `"7"`)
		if r.URL.Path == "/rows" {
			io.WriteString(w, `{"rows":[{"key":"p/1","value":"dg==","revision":"3"}],"next":"p/1"}`)
		}
	}))
	ctx := context.Background()
	if _, err := table.Put(ctx, "a/x y?z", nil, ""); err != nil || got.Header.Get("If-None-Match") != "*" {
		t.Fatalf("create: %v, headers %v", err, got.Header)
	}
	if got.URL.EscapedPath() != "/rows/a/x%20y%3Fz" {
		t.Fatalf("path %s", got.URL.EscapedPath())
	}
	if _, err := table.Put(ctx, "a", nil, "6"); err != nil || got.Header.Get("If-Match") != `"6"` {
		t.Fatalf("replace: %v, headers %v", err, got.Header)
	}
	rows, next, err := table.List(ctx, "p/", "p/0", 1000)
	if err != nil || next != "p/1" || len(rows) != 1 || string(rows[0].Value) != "v" || rows[0].Revision != "3" {
		t.Fatalf("list: %v %q %v", rows, next, err)
	}
	if q := got.URL.Query(); q.Get("prefix") != "p/" || q.Get("after") != "p/0" || q.Get("limit") != "100" {
		t.Fatalf("query %v", q)
	}
	if err := table.DeleteBatch(ctx, rows); err != nil || got.URL.Path != "/rows:delete" ||
		string(body) != `{"rows":[{"key":"p/1","revision":"3"}]}` {
		t.Fatalf("delete: %v %s %s", err, got.URL.Path, body)
	}
	for _, key := range []string{"", "a//b", "a/../b", "./a"} {
		if _, err := table.Get(ctx, key); !errors.Is(err, ErrRejected) {
			t.Fatalf("key %q: %v, want %v", key, err, ErrRejected)
		}
	}
}

// Guards against an answer of unbounded size that exhausts memory.
func TestAnswersAreBounded(t *testing.T) {
	o := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1"`)
		w.Write(make([]byte, MaxValueBytes+1))
	})
	if _, err := NewTable(o).Get(context.Background(), "a"); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("%v, want %v", err, ErrTooLarge)
	}
}

// Guards against a rate limit that is ignored or read in the wrong unit.
func TestWeightsRateLimit(t *testing.T) {
	limited := true
	weights := NewWeights(serve(t, func(w http.ResponseWriter, r *http.Request) {
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

// Guards against objects and VM entries that are mapped to the wrong route or field.
func TestObjectsAndVMList(t *testing.T) {
	store := map[string][]byte{}
	o := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/vms":
			io.WriteString(w, `{"vms":[{"name":"a","role":"agent","address":"127.0.0.1:1","region":"breizh","availability_zone":"vannes","state":"leaving"}]}`)
		case r.Method == http.MethodPut:
			store[r.URL.Path], _ = io.ReadAll(r.Body)
			w.Header().Set("ETag", `"1"`)
		case store[r.URL.Path] == nil:
			w.WriteHeader(http.StatusNotFound)
		case r.Method == http.MethodDelete:
			delete(store, r.URL.Path)
		default:
			w.Write(store[r.URL.Path])
		}
	})
	ctx := context.Background()
	objects := NewObjects(o)
	if _, err := objects.Put(ctx, "claim/x", []byte("v")); err != nil {
		t.Fatal(err)
	}
	if v, _, err := objects.Get(ctx, "claim/x"); err != nil || string(v) != "v" {
		t.Fatalf("%q %v", v, err)
	}
	if err := objects.Delete(ctx, "claim/x"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := objects.Get(ctx, "claim/x"); !errors.Is(err, ErrNotFound) {
		t.Fatalf("%v, want %v", err, ErrNotFound)
	}
	vms, err := NewVMList(o).List(ctx)
	want := VM{Name: "a", Role: RoleAgent, Address: "127.0.0.1:1", Region: "breizh", AvailabilityZone: "vannes", State: VMLeaving}
	if err != nil || len(vms) != 1 || vms[0] != want {
		t.Fatalf("%v %v", vms, err)
	}
}
