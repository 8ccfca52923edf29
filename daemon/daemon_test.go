package daemon_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/daemon"
	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const loopback = "127.0.0.1:0"

// site starts servers of stand-ins and issues the certificates of the processes.
type site struct {
	t   *testing.T
	ctx context.Context
	ca  *standin.Authority
}

func (s *site) serve(handler http.Handler) string {
	server, err := httpserver.Listen("stand-in", loopback, handler, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	go server.Serve(s.ctx)
	return "http://" + server.Address()
}

func (s *site) process(name, role, table, objects string) settings.Process {
	files, err := s.ca.Issue(s.t.TempDir(), role)
	if err != nil {
		s.t.Fatal(err)
	}
	return settings.Process{
		Name: name, Region: "r", AvailabilityZone: "z",
		Platform: settings.Platform{TableURL: table, ObjectsURL: objects},
		TLS:      &settings.TLS{CertificateFile: files.Certificate, KeyFile: files.Key, CAFile: files.CA},
	}
}

// Guards against settings with TLS that do not lead to a working, encrypted site,
// and against an agent that also accepts plain HTTP from peers.
func TestSiteWithTLS(t *testing.T) {
	ca, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, ctx: t.Context(), ca: ca}
	table, objects := s.serve(standin.NewTable(standin.TableOptions{})), s.serve(standin.NewObjectStore(standin.ObjectStoreOptions{}))
	ledger := s.serve(standin.NewLedger(standin.ServiceOptions{}))
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: table}))
	if _, err := store.Put(t.Context(), time.Now(), catalog.Change{ID: "first", By: "test", Catalog: demo.Catalog()}); err != nil {
		t.Fatal(err)
	}
	agent, err := daemon.NewAgent(settings.Agent{
		Role: settings.RoleAgent, Process: s.process("ledger-1", "agent", table, objects),
		Listen:   settings.AgentListen{Peers: loopback, Admin: loopback},
		Endpoint: settings.Endpoint{Kind: settings.KindService, URL: ledger, Service: demo.LedgerService},
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	go agent.Serve(t.Context(), t.Context())
	router, err := daemon.NewRouter(settings.Router{
		Role: settings.RoleRouter, Process: s.process("router-1", "router", table, objects),
		Listen: settings.RouterListen{Callers: loopback, Peers: loopback, Admin: loopback},
		Agents: []string{agent.PeersAddress()},
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	go router.Serve(t.Context(), t.Context())
	await(t, router.Ready)
	if status := charge(t, router.CallersAddress()); status != http.StatusCreated {
		t.Errorf("charge: status %d, want 201", status)
	}
	resp, err := http.Post("http://"+agent.PeersAddress()+"/stream/run", "", strings.NewReader(""))
	if err == nil && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("plain HTTP at the agent: status %d, want 400 or a failed connection", resp.StatusCode)
	}
}

func charge(t *testing.T, router string) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+router+"/services/ledger/charges", strings.NewReader(`{"amount":1}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.InsuranceKey)
	req.Header.Set("Idempotency-Key", "one")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// await polls until ready returns nil and fails the test after one minute.
func await(t *testing.T, ready func() error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := ready()
		if err == nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal(err)
		}
	}
}
