package peertls_test

import (
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/peertls"
	"github.com/pistachiowind/pistachiowind/standin"
)

func newAuthority(t *testing.T) *standin.Authority {
	a, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *standin.Authority, dir, role string) peertls.Files {
	files, err := a.Issue(dir, role)
	if err != nil {
		t.Fatal(err)
	}
	return peertls.Files(files)
}

func load(t *testing.T, files peertls.Files) *peertls.Identity {
	i, err := peertls.Load(files, nil)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// serve starts a server on which the path /open accepts every role and all other
// paths accept routers only.
func serve(t *testing.T, i *peertls.Identity) *httptest.Server {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := httptest.NewUnstartedServer(peertls.RequireRouter(func(path string) bool { return path == "/open" }, ok))
	server.Listener = tls.NewListener(server.Listener, i.ServerConfig())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func get(server *httptest.Server, config *tls.Config, path string) (int, error) {
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Get(strings.Replace(server.URL, "http:", "https:", 1) + path)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against an agent that accepts requests or orders from anything but a router,
// and against a process that connects to a server of another CA.
func TestOnlyRoutersReachRouterRoutes(t *testing.T) {
	siteCA, other := newAuthority(t), newAuthority(t)
	server := serve(t, load(t, issue(t, siteCA, t.TempDir(), peertls.RoleAgent)))
	client := func(a *standin.Authority, role string) *tls.Config {
		return load(t, issue(t, a, t.TempDir(), role)).ClientConfig()
	}
	noCertificate := client(siteCA, peertls.RoleRouter)
	noCertificate.GetClientCertificate = nil
	cases := []struct {
		name   string
		config *tls.Config
		path   string
		status int
	}{
		{"router", client(siteCA, peertls.RoleRouter), "/run", http.StatusOK},
		{"agent at a route for routers", client(siteCA, peertls.RoleAgent), "/run", http.StatusForbidden},
		{"agent at an open route", client(siteCA, peertls.RoleAgent), "/open", http.StatusOK},
		{"no role", client(siteCA, "operator"), "/open", 0},
		{"another authority", client(other, peertls.RoleRouter), "/open", 0},
		{"no certificate", noCertificate, "/open", 0},
	}
	for _, c := range cases {
		status, err := get(server, c.config, c.path)
		if status != c.status || (c.status == 0) != (err != nil) {
			t.Errorf("%s: status %d, %v; want %d", c.name, status, err, c.status)
		}
	}
}

// Guards against a new certificate that takes effect only after a restart, and
// against an invalid file that makes the certificate in use unavailable.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		siteCA, dir := newAuthority(t), t.TempDir()
		var reports []error
		files := issue(t, siteCA, dir, peertls.RoleRouter)
		identity, err := peertls.Load(files, func(err error) { reports = append(reports, err) })
		if err != nil {
			t.Fatal(err)
		}
		expect := func(want string, after time.Duration) {
			t.Helper()
			time.Sleep(after)
			certificate, err := identity.ServerConfig().GetCertificate(nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := certificate.Leaf.SerialNumber.String(); got != want {
				t.Errorf("serial %s, want %s", got, want)
			}
		}
		expect("2", 0)
		issue(t, siteCA, dir, peertls.RoleRouter)
		touch(t, files, 1)
		expect("2", time.Second)
		expect("3", 10*time.Second)
		if err := os.WriteFile(files.Certificate, []byte("broken"), 0o600); err != nil {
			t.Fatal(err)
		}
		touch(t, files, 2)
		expect("3", 10*time.Second)
		if len(reports) != 2 || reports[0] != nil || reports[1] == nil {
			t.Errorf("reload results %v, want one success and one failure", reports)
		}
	})
}

// touch sets the modification time of the certificate file to one that differs from
// all earlier ones.
func touch(t *testing.T, files peertls.Files, minutes int) {
	at := time.Now().Add(time.Duration(minutes) * time.Minute)
	if err := os.Chtimes(files.Certificate, at, at); err != nil {
		t.Fatal(err)
	}
}
