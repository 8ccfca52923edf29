package admin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// process is a fake of the process that serves the API.
type process struct {
	mu       sync.Mutex
	notReady error
	drainer  string
}

func (p *process) Status() admin.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := admin.StateServing
	if p.drainer != "" {
		state = admin.StateDraining
	}
	return admin.Status{Role: settings.RoleRouter, Name: "r1", Version: "v1", Incarnation: "i1", State: state}
}

func (p *process) Ready() error { return p.notReady }

func (p *process) Drain(operator string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainer = operator
}

type fixture struct {
	process *process
	table   *standin.Table
	holder  *catalog.Holder
	url     string
	client  *admin.Client
}

// newFixture serves the API on top of a table service with one catalog version.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{process: &process{}, table: standin.NewTable(standin.TableOptions{}), holder: catalog.NewHolder()}
	tableServer := httptest.NewServer(f.table)
	t.Cleanup(tableServer.Close)
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: tableServer.URL}))
	recorder := burn.NewRecorder("r1", start)
	recorder.Record(start, burn.Sample{Profile: "chat", Class: "chat", Target: catalog.Target{WholeMS: 1}})
	server, err := admin.New(admin.Options{
		Status: f.process, Catalog: f.holder, Store: store, Burn: recorder, Drain: f.process,
		Operators: []settings.Operator{
			{Name: "ana", KeyHash: catalog.HashKey("key-a")},
			{Name: "soazig", KeyHash: catalog.HashKey("key-s")},
		},
		Now:     func() time.Time { return start },
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
	})
	if err != nil {
		t.Fatal(err)
	}
	api := httptest.NewServer(server.Handler())
	t.Cleanup(api.Close)
	f.url = api.URL
	f.client = f.as(t, "key-a")
	first := catalog.Catalog{Profiles: []catalog.Profile{{Name: "chat", Tier: 1, Idempotent: true}, {Name: "history", Tier: 2, Idempotent: true}}}
	if _, err := f.client.PutCatalog(t.Context(), &admin.PutCatalogRequest{Catalog: first}); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fixture) as(t *testing.T, key string) *admin.Client {
	t.Helper()
	c, err := admin.NewClient(admin.ClientOptions{URL: f.url, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func wantCode(t *testing.T, err error, code resultcode.Code) *resultcode.Error {
	t.Helper()
	var coded *resultcode.Error
	if !errors.As(err, &coded) || coded.Code != code {
		t.Fatalf("error = %v, want code %d", err, code)
	}
	return coded
}

// Guards against a lost update when two operators change the same profile, and
// against a retried change that is applied twice or refused.
func TestConcurrentOperators(t *testing.T) {
	f := newFixture(t)
	seen, err := f.client.Profile(t.Context(), "chat")
	if err != nil {
		t.Fatal(err)
	}
	mine := admin.PutProfileRequest{Profile: seen.Profile, BaseVersion: seen.Version}
	mine.Profile.Target.FirstTokenMS = 900
	accepted, err := f.client.PutProfile(t.Context(), &mine)
	if err != nil || accepted.Version != 2 || accepted.ChangedBy != "ana" {
		t.Fatalf("first put: %+v, %v; want version 2 by ana", accepted, err)
	}
	again, err := f.client.PutProfile(t.Context(), &mine)
	if err != nil || again != accepted {
		t.Errorf("retried put: %+v, %v; want %+v", again, err, accepted)
	}
	theirs := admin.PutProfileRequest{Profile: seen.Profile, BaseVersion: seen.Version}
	theirs.Profile.Target.FirstTokenMS = 1500
	_, err = f.as(t, "key-s").PutProfile(t.Context(), &theirs)
	wantCode(t, err, resultcode.VersionConflict)
	var conflict *catalog.ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 2 || conflict.By != "ana" {
		t.Fatalf("conflict = %+v, want version 2 by ana", conflict)
	}
	want := []catalog.Difference{{Field: "profiles[chat].target.first_token_ms", From: "900", To: "1500"}}
	if diff := cmp.Diff(want, conflict.Differences); diff != "" {
		t.Error(diff)
	}
	entries, err := f.client.History(t.Context(), 10)
	if err != nil || len(entries) != 2 || entries[0].Version != 2 {
		t.Errorf("history = %+v, %v", entries, err)
	}
	if p, err := f.client.Profile(t.Context(), "history"); err != nil || p.Profile.Tier != 2 {
		t.Errorf("profile named history = %+v, %v", p, err)
	}
}

// Guards against reads that fail although the process has a catalog, and puts that
// seem accepted, while the store is down.
func TestStoreDown(t *testing.T) {
	f := newFixture(t)
	if err := f.table.SetFaults(standin.TableFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	_, err := f.client.Profiles(t.Context())
	wantCode(t, err, resultcode.StoreUnavailable)
	f.holder.Adopt(start, &catalog.Catalog{Version: 1, Profiles: []catalog.Profile{{Name: "chat"}}})
	list, err := f.client.Profiles(t.Context())
	if err != nil || list.Source != admin.SourceMemory || list.Version != 1 {
		t.Errorf("list = %+v, %v", list, err)
	}
	_, err = f.client.PutProfile(t.Context(), &admin.PutProfileRequest{Profile: catalog.Profile{Name: "chat"}, BaseVersion: 1})
	if e := wantCode(t, err, resultcode.StoreUnavailable); e.EffectiveExecution() != resultcode.NotRun {
		t.Errorf("execution = %s, want %s", e.EffectiveExecution(), resultcode.NotRun)
	}
}

// Guards against an operator route that can be used without a key, and against a
// health or metrics route that needs one, which load balancers and scrapers do not
// have.
func TestAuthentication(t *testing.T) {
	f := newFixture(t)
	for _, route := range []string{
		"GET /v1/status", "GET /v1/profiles", "GET /v1/profiles/chat", "PUT /v1/profiles/chat",
		"GET /v1/profiles/history", "GET /v1/catalog", "PUT /v1/catalog", "GET /v1/burn", "GET /burn", "POST /v1/drain",
	} {
		method, path, _ := strings.Cut(route, " ")
		for _, keys := range [][]string{nil, {"Bearer "}, {"key-a"}, {"Bearer key-b"}, {"Bearer key-a", "Bearer key-a"}} {
			if status := f.request(t, method, path, keys, ""); status != 401 && status != 400 {
				t.Errorf("%s with Authorization %q: status %d, want 400 or 401", route, keys, status)
			}
		}
	}
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		if status := f.request(t, "GET", path, nil, ""); status != http.StatusOK {
			t.Errorf("GET %s without a key: status %d, want 200", path, status)
		}
	}
	if f.process.drainer != "" {
		t.Error("POST /v1/drain took effect without an operator's key")
	}
}

func (f *fixture) request(t *testing.T, method, path string, keys []string, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header["Authorization"] = keys
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against malformed requests that are accepted or get a response with the
// wrong status.
func TestMalformedRequests(t *testing.T) {
	f := newFixture(t)
	key := []string{"Bearer key-a"}
	for name, c := range map[string]struct {
		method, path, body string
		status             int
	}{
		"unknown field":  {"PUT", "/v1/profiles/chat", `{"profil":{}}`, 400},
		"trailing data":  {"PUT", "/v1/profiles/chat", `{"profile":{"name":"chat"}}{}`, 400},
		"trailing brace": {"PUT", "/v1/profiles/chat", `{"profile":{"name":"chat"}}}`, 400},
		"other name":     {"PUT", "/v1/profiles/chat", `{"profile":{"name":"chat2"},"change_id":"x"}`, 422},
		"no change id":   {"PUT", "/v1/profiles/chat", `{"profile":{"name":"chat"}}`, 422},
		"too large":      {"PUT", "/v1/catalog", `{"change_id":"` + strings.Repeat("x", 500<<10) + `"}`, 413},
		"limit":          {"GET", "/v1/profiles/history?limit=0", "", 400},
		"unknown":        {"GET", "/v1/profiles/none", "", 400},
		"no route":       {"DELETE", "/v1/catalog", "", 404},
	} {
		if status := f.request(t, c.method, c.path, key, c.body); status != c.status {
			t.Errorf("%s: status %d, want %d", name, status, c.status)
		}
	}
	w := httptest.NewRecorder()
	server, _ := admin.New(admin.Options{Status: &process{notReady: resultcode.New(resultcode.Leaving, "draining").WithRetryAfter(1500 * time.Millisecond)}})
	server.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/readyz", nil))
	if w.Code != 503 || w.Header().Get("Retry-After") != "2" {
		t.Errorf("GET /readyz: status %d, Retry-After %q; want 503, \"2\"", w.Code, w.Header().Get("Retry-After"))
	}
	goldie.New(t).Assert(t, "not-ready", w.Body.Bytes())
}

// Guards against a merged burn report that hides a router that cannot be read, and
// against a drain that does not reach the process.
func TestBurnAndDrain(t *testing.T) {
	f := newFixture(t)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	report := admin.CollectBurn(t.Context(), start, []admin.ClientOptions{
		{URL: f.url, Key: "key-a"}, {URL: closed.URL, Key: "key-a"}, {URL: f.url, Key: "wrong"},
	})
	if len(report.Routers) != 1 || len(report.Missing) != 2 || report.Windows[0].Classes[0].Requests != 1 {
		t.Errorf("report %+v; want 1 router, 2 missing ones and 1 request", report)
	}
	if status := f.request(t, "GET", "/burn", []string{"Bearer key-a"}, ""); status != http.StatusOK {
		t.Errorf("GET /burn: status %d, want 200", status)
	}
	status, err := f.client.Drain(t.Context())
	if err != nil || status.State != admin.StateDraining || f.process.drainer != "ana" {
		t.Errorf("drain: %+v, %v, requested by %q; want state draining, by ana", status, err, f.process.drainer)
	}
}

// Guards against a change whose response was lost being reported as not applied.
func TestLostAnswer(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	c, err := admin.NewClient(admin.ClientOptions{URL: broken.URL})
	if err != nil {
		t.Fatal(err)
	}
	put := admin.PutProfileRequest{Profile: catalog.Profile{Name: "chat"}}
	_, err = c.PutProfile(t.Context(), &put)
	if e := wantCode(t, err, resultcode.WriteOutcomeUnknown); e.EffectiveExecution() != resultcode.Unknown || put.ChangeID == "" {
		t.Errorf("%v, change ID %q; want an unknown execution and a change ID", e, put.ChangeID)
	}
	broken.Close()
	_, err = c.PutProfile(t.Context(), &put)
	wantCode(t, err, resultcode.EndpointDown)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Status(ctx); err == nil {
		t.Error("call with a cancelled context succeeded")
	}
}
