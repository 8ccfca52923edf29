//go:build review2

// Package standins2 holds the stand-ins of the review's scripts: the platform's store, replicas
// and clients, and the code that starts gateways as processes. It is built as a program by
// review/build-2.sh and is no part of the default test run.
package standins2

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/standin"
)

// TestMain makes a program of the test binary: its arguments are the case and its folder.
func TestMain(*testing.M) { os.Exit(runCase(os.Args[1:])) }

// Exit statuses of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// The bounds of the small deployments' sheets.
const (
	liveness     = 3000 * time.Millisecond
	drainTimeout = 2000 * time.Millisecond
	configApply  = 2000 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	gracePeriod  = 8 * time.Second
	memoryMB     = 134
	maxRun       = 110 * time.Second
)

// cases maps the name of a case to its function, which returns whether the rule was broken.
var cases = map[string]func(*site) (bool, error){}

func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		return failed
	}
	s, err := newSite(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	type result struct {
		broken bool
		err    error
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan result, 1)
	go func() {
		b, err := cases[args[0]](s)
		done <- result{b, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			s.note("the case could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return failed
		case r.broken:
			s.note("RESULT: the rule was broken")
			return broken
		}
		s.note("RESULT: the rule held")
		return held
	case sig := <-stopped:
		s.note("the case could not run: %v", sig)
		return failed
	case <-time.After(maxRun):
		s.note("the case could not run: out of time")
		return failed
	}
}

// site is a small deployment on loopback addresses.
type site struct {
	// name tells the deployments of one case apart in the record.
	name    string
	trouble bool
	began   time.Time
	dir     string
	root    string
	record  *record

	table    *standin.Table
	store    *silenceable // for the gateways
	operator *http.Server // for the operator and the replicas
	opURL    string

	ports    struct{ callers, ready, metrics, peers int }
	gateways []*gatewayProcess
	replicas []*replica
	servers  []io.Closer
	children []*site
}

// record is the file record.txt of a case.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func newSite(folder string, trouble bool) (*site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s, err := newDeployment("", root, &record{file: file}, time.Now(), trouble)
	if err == nil {
		s.note("trouble: %v", trouble)
	}
	return s, err
}

// child adds a further deployment of the same case, which shares nothing but the record.
func (s *site) child(name string) (*site, error) {
	c, err := newDeployment(name+" ", s.root, s.record, s.began, s.trouble)
	if err == nil {
		s.children = append(s.children, c)
	}
	return c, err
}

func newDeployment(name, root string, to *record, began time.Time, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{name: name, trouble: trouble, began: began, dir: dir, root: root, record: to, table: standin.NewTable(standin.TableOptions{})}
	operator, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.opURL = "http://" + operator.Addr().String()
	s.operator = &http.Server{Handler: s.table}
	go s.operator.Serve(operator)
	if s.store, err = listenSilenceable("127.0.0.1:0"); err != nil {
		return nil, err
	}
	storeServer := &http.Server{Handler: s.table}
	go storeServer.Serve(s.store)
	s.servers = append(s.servers, s.operator, storeServer)
	for _, p := range []*int{&s.ports.callers, &s.ports.ready, &s.ports.metrics, &s.ports.peers} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// The ports of the gateways lie below those that the system hands out for connections.
const (
	firstPort, lastPort = 15000, 32000
	portTries           = 200
)

// takenPorts are the ports that freePort returned.
var (
	portMu     sync.Mutex
	takenPorts = make(map[int]bool)
)

// freePort returns a port that is free on all loopback addresses, for TCP and UDP, and that it
// has not returned before.
func freePort() (int, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if takenPorts[port] {
			continue
		}
		address := fmt.Sprintf("0.0.0.0:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		u.Close()
		takenPorts[port] = true
		return port, nil
	}
	return 0, errors.New("no free port")
}

// note writes a line to the record, with the seconds since the start.
func (s *site) note(format string, args ...any) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	fmt.Fprintf(s.record.file, "%8.3f %s"+format+"\n", append([]any{time.Since(s.began).Seconds(), s.name}, args...)...)
}

func (s *site) at(t time.Time) float64 { return t.Sub(s.began).Seconds() }

// close ends all processes and servers.
func (s *site) close() {
	for _, c := range s.children {
		c.close()
	}
	for _, g := range s.gateways {
		g.kill()
	}
	for _, c := range s.servers {
		c.Close()
	}
	for _, r := range s.replicas {
		r.stop()
	}
	if s.name == "" {
		s.record.file.Close()
	}
	os.RemoveAll(s.dir)
}

// transact writes and removes rows, as the operator or a replica, and returns the time of the
// store's answer, which is the acknowledgement.
func (s *site) transact(write, remove []map[string]any) (time.Time, error) {
	body, err := json.Marshal(map[string]any{"write": write, "remove": remove})
	if err != nil {
		return time.Time{}, err
	}
	resp, err := http.Post(s.opURL+"/-/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return time.Time{}, fmt.Errorf("the store answered %d: %s", resp.StatusCode, text)
	}
	return time.Now(), nil
}

func row(table, key string, value any) map[string]any {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return map[string]any{"tableName": table, "part": "", "key": key, "data": data}
}

// configure writes a configuration and returns the time of its acknowledgement.
func (s *site) configure(config map[string]any) (time.Time, error) {
	return s.transact([]map[string]any{row("op", "config", config)}, nil)
}

// config returns a configuration with two services: a model pool and a ledger.
func config(version int, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "debit", "hostname": "ledger.example", "prefix": "/debit/", "backend": "ledger", "routeType": "non_idempotent",
				"timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2, "priorityClass": 0},
			{"name": "read", "hostname": "ledger.example", "prefix": "/read/", "backend": "ledger", "routeType": "idempotent",
				"timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2, "priorityClass": 0},
			{"name": "chat", "hostname": "pool.example", "prefix": "/chat/", "backend": "pool", "routeType": "streaming", "streamResume": true,
				"sessionAffinity": true, "timeoutMs": 15000, "targetLatencyMs": 400, "targetItlMs": 250, "maxAttempts": 2, "priorityClass": 0},
		},
		"backends": []map[string]any{
			{"name": "ledger", "healthCheck": "/healthz", "maxConnections": 110},
			{"name": "pool", "healthCheck": "/healthz", "maxConnections": 370, "runtime": map[string]any{
				"capacity": 64, "kvCapacityTokens": 232550, "stride": 3, "kvTokenBytes": 1000, "bandwidthMbps": 2000.0}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 65536, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": tenants,
	}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys}
}

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	site     *site
	name, ip string
	settings string
	log      *os.File
	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
}

// addGateways prepares gateways on loopback addresses of their own.
func (s *site) addGateways(n int) error {
	first := len(s.gateways)
	for i := first; i < first+n; i++ {
		g := &gatewayProcess{site: s, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.0.77.%d", i+1)}
		g.settings = filepath.Join(s.dir, g.name+".json")
		s.gateways = append(s.gateways, g)
	}
	var seeds []string
	for _, g := range s.gateways[:min(3, len(s.gateways))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", g.ip, s.ports.ready))
	}
	for _, g := range s.gateways {
		// The fields of deploy/gateway.json.tmpl.
		settings := map[string]any{
			"name": g.name, "region": "ro-sud", "availability_zone": "ro-sud-a",
			"listen": map[string]any{
				"callers": g.address(s.ports.callers), "ready": g.address(s.ports.ready),
				"metrics": g.address(s.ports.metrics), "peers": g.address(s.ports.peers),
			},
			"store_address": s.store.Addr().String(), "peer_seeds": seeds, "memory_mb": memoryMB,
			"grace_period_s": gracePeriod.Seconds(), "config_apply_ms": configApply.Milliseconds(),
			"drain_timeout_ms": drainTimeout.Milliseconds(), "heartbeat_interval_ms": heartbeat.Milliseconds(),
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 56,
			"guarantees": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(g.settings, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (g *gatewayProcess) address(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }

func (g *gatewayProcess) callers() string { return g.address(g.site.ports.callers) }

// start starts the process as the deploy file does.
func (g *gatewayProcess) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.log == nil {
		var err error
		if g.log, err = os.Create(filepath.Join(g.site.dir, g.name+".log")); err != nil {
			return err
		}
	}
	g.command = exec.Command(filepath.Join(g.site.root, "target", "pistachiowind-gateway"))
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOWIND_NODE_FILE=" + g.settings}
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		return err
	}
	g.site.note("%s: started, process %d", g.name, g.command.Process.Pid)
	g.ended = make(chan struct{})
	command, ended := g.command, g.ended
	go func() {
		err := command.Wait()
		g.site.note("%s: process %d ended: %v", g.name, command.Process.Pid, err)
		close(ended)
	}()
	return nil
}

func (g *gatewayProcess) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (g *gatewayProcess) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.ended
	g.command = nil
}

// ready reports whether the gateway answers its readiness check with 200.
func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.address(g.site.ports.ready) + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startGateways starts all gateways and waits until they are ready.
func (s *site) startGateways() error {
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(15*time.Second, s.gateways...)
}

func (s *site) awaitReady(within time.Duration, list ...*gatewayProcess) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for _, g := range list {
		for !g.ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready after %v", g.name, within)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	s.note("%d gateways are ready", len(list))
	return nil
}
