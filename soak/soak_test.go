package soak

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/standin"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "number of seeds")
	first   = flag.Uint64("soak.first", 1, "first seed")
	runTime = flag.Duration("soak.for", 4*time.Second, "time of one seed under faults")
)

const (
	gateways = 3
	callers  = 12
	// recovery bounds the time until everything is served after the last fault;
	// the platform states 12 s on its sites.
	recovery = 12 * time.Second
	config   = `{"version":%d,"routes":[
 {"name":"pay","hostname":"site.example","prefix":"/pay/","routeType":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"backend":"plain","maxAttempts":2},
 {"name":"get","hostname":"site.example","prefix":"/get/","routeType":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"backend":"plain","maxAttempts":2},
 {"name":"ask","hostname":"site.example","prefix":"/ask/","routeType":"streaming","timeoutMs":4000,"targetLatencyMs":600,"backend":"pool","maxAttempts":3,"streamResume":true,"targetItlMs":400},
 {"name":"say","hostname":"site.example","prefix":"/say/","routeType":"streaming","timeoutMs":4000,"targetLatencyMs":600,"backend":"pool","maxAttempts":1,"targetItlMs":400}],
 "backends":[{"name":"pool","healthCheck":"/h","maxConnections":100,"runtime":{"capacity":64,"kvCapacityTokens":100000,"kvTokenBytes":1000,"bandwidthMbps":1000,"stride":1}},{"name":"plain","healthCheck":"/h","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"acme","apiKeys":["k-acme"]},{"name":"blau","apiKeys":["k-blau"]}]}`
)

// accounts maps keys to what endpoints must be told.
var accounts = map[string]string{"k-acme": "acme", "k-blau": "blau"}

// site is one run: a store and endpoints in this process, gateways as processes.
type site struct {
	t        *testing.T
	dir      string
	binary   string
	world    *world
	table    *standin.Table
	store    *proxy
	backEnds []*backEnd
	gates    []*gate
	version  int
}

// gate is a gateway process and its addresses.
type gate struct {
	restarting sync.Mutex
	mu         sync.Mutex
	settings   string
	binary     string
	callers    string
	log        *os.File
	cmd        *exec.Cmd
	ended      chan struct{}
}

func (g *gate) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = exec.Command(g.binary, "--settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	cmd := g.cmd
	go func() {
		// The way in which the process ended is in its log.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (g *gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A process that has ended takes no signal.
	_ = g.cmd.Process.Signal(s)
}

// endAndStart ends the process with a signal and starts it again after a pause. A
// gate that is being restarted already is left alone.
func (g *gate) endAndStart(s syscall.Signal, pause time.Duration) error {
	if !g.restarting.TryLock() {
		return nil
	}
	defer g.restarting.Unlock()
	g.signal(s)
	// A stopped process takes SIGTERM only when it goes on.
	g.signal(syscall.SIGCONT)
	<-g.ending()
	time.Sleep(pause)
	return g.start()
}

// ending returns the channel that is closed when the present process has ended.
func (g *gate) ending() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newSite(t *testing.T, binary string, seed uint64) *site {
	s := &site{t: t, dir: t.TempDir(), binary: binary, world: &world{runs: map[string]int{}, accounts: map[string]string{}}}
	s.table = standin.NewTable(standin.TableOptions{})
	server := httptest.NewServer(s.table)
	t.Cleanup(func() { s.table.Close(); server.CloseClientConnections() })
	var err error
	if s.store, err = newProxy(server.Listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	for i, service := range []string{"pool", "pool", "pool", "plain", "plain"} {
		b, err := newBackEnd(fmt.Sprintf("i-%d", i), s.world, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		s.backEnds = append(s.backEnds, b)
		s.write(server.URL, "servers", b.id, fmt.Sprintf(
			`{"backend":%q,"address":%q,"zone":"z","capacity":64,"phase":"ready","born":1}`, service, b.proxy.address()))
	}
	s.configure(server.URL)
	peers := make([]string, gateways)
	for i := range peers {
		peers[i] = fmt.Sprintf("127.0.%d.%d:%d", seed%200+1, i+1, 20000+os.Getpid()%20000)
	}
	for i := range peers {
		s.addGate(i, peers)
	}
	return s
}

func (s *site) addGate(i int, peers []string) {
	g := &gate{binary: s.binary, callers: freeAddress(s.t), settings: filepath.Join(s.dir, fmt.Sprintf("g%d.json", i))}
	settings := map[string]any{
		"name": fmt.Sprintf("g%d", i), "region": "r", "availability_zone": "z",
		"listen":        map[string]string{"callers": g.callers, "ready": freeAddress(s.t), "peers": peers[i]},
		"store_address": s.store.address(), "peer_seeds": peers, "memory_mb": 200, "grace_period_s": 4,
		"retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 56,
	}
	b, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(g.settings, b, 0o644)
	}
	if err == nil {
		g.log, err = os.Create(filepath.Join(s.dir, fmt.Sprintf("g%d.log", i)))
	}
	if err == nil {
		err = g.start()
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.gates = append(s.gates, g)
	s.t.Cleanup(func() {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-g.ending()
	})
}

// write puts a row as the operator or an endpoint does.
func (s *site) write(url, table, key, data string) {
	body, err := json.Marshal(map[string]any{"write": []map[string]any{{"tableName": table, "key": key, "data": []byte(data)}}})
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.Post(url+"/-/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("write %s/%s: status %d", table, key, resp.StatusCode)
	}
}

func (s *site) configure(url string) {
	s.version += 3
	s.write(url, "op", "config", fmt.Sprintf(config, s.version))
}

// disturb injects one fault and takes it back after a while. It returns when the
// fault is over, so that several run at the same time.
func (s *site) disturb(rng *rand.Rand) {
	g := s.gates[rng.IntN(len(s.gates))]
	b := s.backEnds[rng.IntN(len(s.backEnds))]
	p := b.proxy
	if rng.IntN(3) == 0 {
		p = s.store
	}
	pause := time.Duration(100+rng.IntN(900)) * time.Millisecond
	direction := rng.IntN(3)
	switch rng.IntN(9) {
	case 0:
		s.check(g.endAndStart(syscall.SIGKILL, pause/4))
	case 1:
		s.check(g.endAndStart(syscall.SIGTERM, 0))
	case 2:
		g.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		g.signal(syscall.SIGCONT)
	case 3:
		g.signal(syscall.SIGHUP)
	case 4:
		p.delay.Store(int64(pause / 20))
		time.Sleep(pause)
	case 5:
		p.each(func(l *link) { reset(l.near); reset(l.far) })
	case 6:
		p.each(func(l *link) { l.noUp.Store(direction != 0); l.noDown.Store(direction != 1) })
		time.Sleep(pause)
	case 7:
		p.refuse.Store(true)
		time.Sleep(pause)
	case 8:
		faults := []standin.TableFaults{{Down: true}, {Hang: true}, {LatencyMS: 200}, {}}[rng.IntN(4)]
		s.check(s.table.SetFaults(faults))
		if faults == (standin.TableFaults{}) {
			s.table.Compact()
		}
		time.Sleep(pause)
		s.check(s.table.SetFaults(standin.TableFaults{}))
	}
	p.heal()
}

func (s *site) check(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

// call sends one request and checks what comes back against what ran. It reports
// whether the request was served.
func (s *site) call(g *gate, client *http.Client, route, key, id string) bool {
	req, err := http.NewRequest("POST", "http://"+g.callers+"/"+route+"/x", strings.NewReader("body "+id))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "site.example"
	for name, value := range map[string]string{"Attempt-Id": id, "X-Api-Key": key, "Deadline-Ms": "3000", "Tenant": "forged", "Token-Usage": "100,10"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, readErr := io.ReadAll(resp.Body)
	runs, account := s.world.count(id)
	if runs > 0 && account != accounts[key] {
		s.t.Errorf("%s: an endpoint was told account %q for key %s", id, account, key)
	}
	if runs > 1 && (route == "pay" || route == "say") {
		s.t.Errorf("%s: %s ran %d times", id, route, runs)
	}
	switch {
	case resp.StatusCode == http.StatusOK && readErr == nil:
		s.checkWhole(route, id, resp.Header.Get("Response-Signature"), string(body))
		return true
	case resp.StatusCode == http.StatusServiceUnavailable && runs > 0:
		s.t.Errorf("%s: %s was refused although it ran", id, route)
	case resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusNotFound:
		s.t.Errorf("%s: status %d for a proper request", id, resp.StatusCode)
	}
	return false
}

func (s *site) checkWhole(route, id, signed, body string) {
	want := "answer to " + id
	if route == "ask" || route == "say" {
		want = ""
		for n := 1; n <= eventsPerStream; n++ {
			want += event(id, n)
		}
	}
	if body != want || !strings.HasPrefix(signed, id+"@") {
		s.t.Errorf("%s: %s got %q, signature %q", id, route, body, signed)
	}
}

var routes = []string{"pay", "get", "ask", "say"}

// traffic sends requests until stop is closed, on kept connections.
func (s *site) traffic(caller int, rng *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	keys := []string{"k-acme", "k-blau"}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("c%d-%d", caller, n)
		s.call(s.gates[rng.IntN(len(s.gates))], client, routes[rng.IntN(len(routes))], keys[rng.IntN(2)], id)
	}
}

// recovers checks that each gateway serves each route again.
func (s *site) recovers() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	deadline := time.Now().Add(recovery)
	for i, g := range s.gates {
		for _, route := range routes {
			for n := 0; !s.call(g, client, route, "k-acme", fmt.Sprintf("after-%d-%s-%d", i, route, n)); n++ {
				if time.Now().After(deadline) {
					s.t.Errorf("gateway %d does not serve %s %v after the last fault", i, route, recovery)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

func (s *site) play(seed uint64) {
	stop := make(chan struct{})
	var work, faults sync.WaitGroup
	for c := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			s.traffic(c, rand.New(rand.NewPCG(seed, uint64(c))), stop)
		}()
	}
	end := time.Now().Add(*runTime)
	for lane := range 3 {
		faults.Add(1)
		go func() {
			defer faults.Done()
			rng := rand.New(rand.NewPCG(seed, 100+uint64(lane)))
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				s.disturb(rng)
			}
		}()
	}
	faults.Wait()
	s.recovers()
	close(stop)
	work.Wait()
}

// Guards against doubled, false, mixed or incomplete answers while processes,
// connections and the store fail, and against a site that does not come back.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "gateway")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "../cmd/pistachiowind-gateway").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSite(t, binary, seed)
			s.play(seed)
			if t.Failed() {
				s.keepLogs(seed)
			}
			served := 0
			for _, n := range s.world.runs {
				served += n
			}
			t.Logf("%d runs at endpoints", served)
		})
	}
}

// keepLogs copies the gateways' logs of a failed seed to the temporary folder.
func (s *site) keepLogs(seed uint64) {
	for i, g := range s.gates {
		b, err := os.ReadFile(g.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-g%d.log", seed, i)), b, 0o644)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("logs of seed %d are in %s", seed, os.TempDir())
}
