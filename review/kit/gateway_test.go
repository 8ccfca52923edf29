//go:build review

package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site braise-coop.
const (
	drainTimeout = 2 * time.Second
	gracePeriod  = 8 * time.Second
	liveness     = 3 * time.Second
)

// gateway is a process of the project.
type gateway struct {
	name, host string
	callers    string
	ready      string
	settings   string
	program    string
	log        *os.File
	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
}

// freePorts returns n ports that are free on all of the hosts.
func freePorts(hosts []string, n int) []int {
	var ports []int
	for port := 20000 + rand.IntN(5000); len(ports) < n && port < 32000; port++ {
		free := true
		for _, host := range hosts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		fail(errors.New("no free ports"))
	}
	return ports
}

// startGateways starts gateways, each at a loopback address of its own, in the zones by turns. Their
// settings are those that deploy/gateway.json.tmpl gives on the site braise-coop.
func (b *bed) startGateways(n int, zones []string) {
	net1, net2 := os.Getpid()%250+1, rand.IntN(250)+1
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("127.%d.%d.%d", net1, net2, i+1))
	}
	ports := freePorts(hosts, 5)
	var seeds []string
	for _, host := range hosts[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host, ports[4]))
	}
	for i, host := range hosts {
		at := func(port int) string { return fmt.Sprintf("%s:%d", host, ports[port]) }
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), host: host, callers: at(0), ready: at(1), program: b.program}
		settings, err := json.Marshal(map[string]any{
			"name": g.name, "region": "breizh", "availability_zone": zones[i%len(zones)],
			"listen":        map[string]string{"callers": at(0), "ready": at(1), "metrics": at(2), "peers": at(3)},
			"store_address": b.store.addressFor(g.name), "peer_seeds": seeds, "memory_mb": 284, "grace_period_s": 8,
			"config_apply_ms": 2000, "drain_timeout_ms": 2000,
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 56,
			"guarantees": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		})
		fail(err)
		g.settings = b.file(g.name + ".json")
		fail(os.WriteFile(g.settings, settings, 0o600))
		g.log, err = os.Create(b.file(g.name + ".log"))
		fail(err)
		fail(g.start())
		b.gateways = append(b.gateways, g)
	}
	for _, g := range b.gateways {
		b.awaitReady(g)
	}
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = exec.Command(g.program)
	g.cmd.Env = append(os.Environ(), "PISTACHIOWIND_NODE_FILE="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	started, exited := g.cmd, make(chan struct{})
	g.exited = exited
	go func() {
		_ = started.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal and returns the time at which it was sent.
func (g *gateway) signal(s syscall.Signal) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := time.Now()
	_ = g.cmd.Process.Signal(s)
	return at
}

func (g *gateway) kill() {
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.exited
	g.log.Close()
	if os.Getenv("KEEP_LOG") != "" {
		if text, err := os.ReadFile(g.log.Name()); err == nil {
			fmt.Fprintf(os.Stderr, "== %s %s\n%s", g.name, g.host, text)
		}
	}
}

// awaitReady waits until the gateway says that it is ready.
func (b *bed) awaitReady(g *gateway) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/-/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			b.note("%s at %s is ready", g.name, g.host)
			return
		}
	}
	fail(errors.New(g.name + " is not ready"))
}

// config writes a configuration like that of braise-coop, with four routes.
func (b *bed) config(version int) {
	b.store.change("op", "config", fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"r-chat","hostname":"site.example","prefix":"/chat/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":400,"priorityClass":0,"backend":"pool","maxAttempts":1,"anonymous":false,"sessionAffinity":true,"streamResume":false,"targetItlMs":250},
 {"name":"r-ask","hostname":"site.example","prefix":"/ask/","routeType":"streaming","timeoutMs":4000,"targetLatencyMs":600,"priorityClass":1,"backend":"pool","maxAttempts":2,"anonymous":false,"sessionAffinity":true,"streamResume":true,"targetItlMs":400},
 {"name":"r-book","hostname":"site.example","prefix":"/book/","routeType":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priorityClass":2,"backend":"depot","maxAttempts":1,"anonymous":false},
 {"name":"r-stock","hostname":"site.example","prefix":"/stock/","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priorityClass":2,"backend":"depot","maxAttempts":2,"anonymous":false}],
"backends":[{"name":"pool","healthCheck":"/healthz","maxConnections":370,"protocol":"h1","tlsEnabled":false,"runtime":{"capacity":64,"kvCapacityTokens":302607,"kvTokenBytes":163840,"bandwidthMbps":280000.0,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"cacheHandleS":5.0,"models":[{"name":"m"}]}},
 {"name":"depot","healthCheck":"/healthz","maxConnections":110,"protocol":"h1","tlsEnabled":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"acme","apiKeys":["k-acme"],"priorityClass":1}]}`, version))
}
