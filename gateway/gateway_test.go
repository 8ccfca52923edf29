package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/follow"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

// plainProtocol accepts all answers as signed and adds no headers, which suffices for
// one endpoint.
type plainProtocol struct{}

func (plainProtocol) DecodeRequest(h http.Header) relay.RequestFields {
	return relay.RequestFields{ID: h.Get("Id")}
}
func (plainProtocol) SetRequestHeaders(http.Header, relay.OutgoingFields) {}
func (plainProtocol) ProcessQuery(string) (string, http.Header)           { return "/report", nil }

func (plainProtocol) DecodeProcess(int, http.Header, []byte) upstream.Process {
	return upstream.Process{State: upstream.ProcessSilent}
}

func (plainProtocol) DecodeResponse(_ int, h http.Header) relay.ResponseFields {
	return relay.ResponseFields{Signed: true}
}

// fakeSource is a table whose listing succeeds at once, or always fails.
type fakeSource struct{ down bool }

func (s fakeSource) List(context.Context) (follow.Page, error) {
	if s.down {
		return follow.Page{}, errors.New("store is down")
	}
	return follow.Page{Version: 1}, nil
}

func (s fakeSource) Changes(ctx context.Context, _ int64, _ time.Duration) (follow.Page, error) {
	<-ctx.Done()
	return follow.Page{}, ctx.Err()
}

// fakeSink calls listed for each listing, which passes fixed content to the gateway.
type fakeSink struct {
	gateway *Gateway
	listed  func(*Gateway)
}

func (s fakeSink) Listed([]follow.Row)   { s.listed(s.gateway) }
func (s fakeSink) Restored([]follow.Row) {}
func (s fakeSink) Changed([]follow.Row)  {}
func (s fakeSink) Lost(error)            {}
func (s fakeSink) Regained()             {}

func testConfig(version int64) routing.Config {
	return routing.Config{
		Version: version,
		Routes: []routing.Route{{Name: "r", Host: "site.example", Prefix: "/x/", Kind: routing.NonIdempotent, MaxAttempts: 1,
			Timeout: 10 * time.Second, Split: []routing.Share{{Service: "s", Weight: 1}}}},
		Services: []routing.Service{{Name: "s"}},
	}
}

func freePort(t *testing.T, host string) string {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start runs a gateway with one endpoint until the test ends; down makes the store
// fail. The returned function starts the drain and waits for its end.
func start(t *testing.T, s Settings, endpoint string, down bool) (*Gateway, func()) {
	t.Helper()
	return startWith(t, s, endpoint, down, 5)
}

// startWith is like start with a given version of the configuration in the store.
func startWith(t *testing.T, s Settings, endpoint string, down bool, version int64) (*Gateway, func()) {
	t.Helper()
	s.AvailabilityZone, s.GracePeriodS, s.RetryRatio, s.RetryAllowance = "z", 3, 0.2, 56
	s.Listen.Callers, s.Listen.Ready = freePort(t, "127.0.0.1"), freePort(t, "127.0.0.1")
	g := New(Options{
		Settings: s, Protocol: plainProtocol{}, ReadyPath: "/ready", Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 2)),
		Config: fakeSource{down}, Endpoints: fakeSource{down},
		ConfigSink: func(g *Gateway) follow.Sink {
			return fakeSink{g, func(g *Gateway) { g.ConfigSeen(testConfig(version)) }}
		},
		EndpointSink: func(g *Gateway) follow.Sink {
			return fakeSink{g, func(g *Gateway) {
				g.EndpointsListed([]registry.Entry{{ID: "e", Service: "s", Address: endpoint, Zone: "z", Slots: 4}})
			}}
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Serve(ctx) }()
	finish := func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("end: %v", err)
		}
		ended <- nil
	}
	t.Cleanup(finish)
	return g, finish
}

// readiness returns the status of a readiness check; zero if it failed.
func readiness(g *Gateway) int {
	resp, err := http.Get("http://" + g.options.Settings.Listen.Ready + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func awaitReadiness(t *testing.T, g *Gateway, want int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); readiness(g) != want; {
		if time.Now().After(end) {
			t.Fatalf("readiness %d, want %d", readiness(g), want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a shutdown that cuts off a request in progress, or during which the
// gateway still reports ready.
func TestDrainFinishesRequestsInProgress(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		io.WriteString(w, "done")
	}))
	defer endpoint.Close()
	g, finish := start(t, Settings{}, endpoint.Listener.Addr().String(), false)
	awaitReadiness(t, g, http.StatusOK)
	answer := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest("POST", "http://"+g.options.Settings.Listen.Callers+"/x/y", nil)
		req.Host = "site.example"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			b = []byte(err.Error())
		}
		answer <- string(b)
	}()
	<-arrived
	ended := make(chan struct{})
	go func() { finish(); close(ended) }()
	awaitReadiness(t, g, http.StatusServiceUnavailable)
	close(release)
	if got := <-answer; got != "done" {
		t.Fatalf("answer %q", got)
	}
	<-ended
}

// Guards against a process that reverts to an older configuration.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := New(Options{Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()})
	for _, version := range []int64{5, 3, 5, 9, 8} {
		g.ConfigSeen(testConfig(version))
	}
	if v := g.table.Load().Version; v != 9 {
		t.Fatalf("version %d in force, want 9", v)
	}
}

// Guards against a gateway that starts during a store outage and does not get the state
// from its peers, and against one without any state that reports ready.
func TestStartWithoutTheStoreTakesTheStateOfAPeer(t *testing.T) {
	first := Settings{Listen: Listen{Peers: freePort(t, "127.0.0.1")}}
	informed, _ := start(t, first, "127.0.0.1:9", false)
	awaitReadiness(t, informed, http.StatusOK)
	_, port, err := net.SplitHostPort(first.Listen.Peers)
	if err != nil {
		t.Fatal(err)
	}
	alone, _ := start(t, Settings{}, "127.0.0.1:9", true)
	late, _ := start(t, Settings{Listen: Listen{Peers: "127.0.0.2:" + port}, PeerSeeds: []string{first.Listen.Peers}}, "127.0.0.1:9", true)
	awaitReadiness(t, late, http.StatusOK)
	if v := late.table.Load().Version; v != 5 {
		t.Fatalf("version %d from the peer, want 5", v)
	}
	if code := readiness(alone); code != http.StatusServiceUnavailable {
		t.Fatalf("readiness %d without any information", code)
	}
}

// Guards against a gateway that restarts during a store outage and takes the state of
// the first peer that answers although that one is outdated: a withdrawn key, or an
// endpoint that left, would be in use again.
func TestStartWithoutTheStoreTakesTheNewestState(t *testing.T) {
	behind := Settings{Listen: Listen{Peers: freePort(t, "127.0.0.1")}}
	_, port, err := net.SplitHostPort(behind.Listen.Peers)
	if err != nil {
		t.Fatal(err)
	}
	current := Settings{Listen: Listen{Peers: "127.0.0.3:" + port}}
	old, _ := startWith(t, behind, "127.0.0.1:9", false, 5)
	awaitReadiness(t, old, http.StatusOK)
	updated, _ := startWith(t, current, "127.0.0.1:10", false, 9)
	awaitReadiness(t, updated, http.StatusOK)
	late, _ := startWith(t, Settings{Listen: Listen{Peers: "127.0.0.2:" + port}, PeerSeeds: []string{behind.Listen.Peers, current.Listen.Peers}},
		"127.0.0.1:9", true, 1)
	awaitReadiness(t, late, http.StatusOK)
	if v := late.table.Load().Version; v != 9 {
		t.Fatalf("version %d from the peers, want 9", v)
	}
	entries, _ := late.dispatcher.entries()
	if len(entries) != 1 || entries[0].Address != "127.0.0.1:10" {
		t.Fatalf("endpoints %v, want those of the peer with the newest state", entries)
	}
}

// Guards against forwarding a request whose connection the gateway has just closed as
// idle: the response could not be delivered.
func TestRequestOnAClosedConnectionIsNotPassedOn(t *testing.T) {
	g, _ := start(t, Settings{}, "127.0.0.1:9", false)
	awaitReadiness(t, g, http.StatusOK)
	near, far := net.Pipe()
	defer far.Close()
	c := &callerConn{Conn: near}
	handle := func() (aborted bool) {
		defer func() { aborted = recover() != nil }()
		r := httptest.NewRequest("POST", "http://site.example/x/y", nil)
		r = r.WithContext(withConn(r.Context(), c))
		g.callerServer.Handler.ServeHTTP(httptest.NewRecorder(), r)
		return false
	}
	if handle() {
		t.Fatal("a request on an open connection was dropped")
	}
	c.Close()
	if !handle() {
		t.Fatal("a request on a closed connection was handled")
	}
}

func (fakeSource) Era() uint64 { return 0 }

// Guards against a gateway that starts while the store shows an older copy and accepts
// withdrawn keys until the operators have written the configuration again.
func TestGatewayThatBeginsWithAnOlderCopyTakesTheConfigurationOfAPeer(t *testing.T) {
	current := Settings{Listen: Listen{Peers: freePort(t, "127.0.0.1")}}
	_, port, err := net.SplitHostPort(current.Listen.Peers)
	if err != nil {
		t.Fatal(err)
	}
	ahead, _ := startWith(t, current, "127.0.0.1:9", false, 9)
	awaitReadiness(t, ahead, http.StatusOK)
	late, _ := startWith(t, Settings{Listen: Listen{Peers: "127.0.0.2:" + port}, PeerSeeds: []string{current.Listen.Peers}}, "127.0.0.1:10", false, 5)
	awaitReadiness(t, late, http.StatusOK)
	for end := time.Now().Add(20 * time.Second); late.table.Load().Version != 9; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d in force, want that of the peer", late.table.Load().Version)
		}
	}
	if entries, _ := late.dispatcher.entries(); len(entries) != 1 || entries[0].Address != "127.0.0.1:10" {
		t.Fatalf("endpoints %v, want those that the store shows", entries)
	}
}
