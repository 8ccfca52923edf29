// Package peertls secures the traffic between processes by mutual TLS. Each
// process has a certificate from the site's own authority; the certificate's
// organizational unit states the role, router or agent. Addresses are not
// checked against the certificate, because VMs are replaced at any time and
// known by IP addresses only: the authority must sign certificates for processes
// of the system and for nothing else. Certificates are read again when their
// files change.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// Roles in the organizational unit of a certificate.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// reloadInterval bounds how often the files are looked at.
const reloadInterval = 5 * time.Second

// Files are the PEM files of one process.
type Files struct {
	// Certificate is the path of the certificate chain.
	Certificate string
	// Key is the path of the private key.
	Key string
	// CA is the path of the certificates that sign the peers' certificates.
	CA string
}

// Identity is a process's certificate and the authority that it trusts. It is
// safe for concurrent use.
type Identity struct {
	files Files
	// report is told of each reload; err is nil for a successful one.
	report func(err error)

	mu      sync.Mutex
	loaded  material
	checked time.Time
}

// material is what was read from the files.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
	changed     changeTimes
}

// changeTimes are the change times of the three files. All are compared, because
// a new file may be older than another one.
type changeTimes [3]time.Time

// Load reads the files. The function report, if not nil, is called after each
// later reload; when one fails, the previous certificate stays in use.
func Load(files Files, report func(err error)) (*Identity, error) {
	if report == nil {
		report = func(error) {}
	}
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Identity{files: files, report: report, loaded: m, checked: time.Now()}, nil
}

func read(files Files) (material, error) {
	changed, err := readChangeTimes(files)
	if err != nil {
		return material{}, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, fmt.Errorf("load certificate %s: %w", files.Certificate, err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return material{}, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return material{}, fmt.Errorf("read authority %s: no certificate in it", files.CA)
	}
	return material{certificate: &certificate, authority: pool, changed: changed}, nil
}

func readChangeTimes(files Files) (changeTimes, error) {
	var times changeTimes
	for i, path := range []string{files.Certificate, files.Key, files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return changeTimes{}, fmt.Errorf("read TLS file: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// current returns the material in use, after a reload if the files changed.
func (i *Identity) current(now time.Time) material {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.checked) < reloadInterval {
		return i.loaded
	}
	i.checked = now
	changed, err := readChangeTimes(i.files)
	if err == nil && changed == i.loaded.changed {
		return i.loaded
	}
	m, err := read(i.files)
	i.report(err)
	if err == nil {
		i.loaded = m
	}
	return i.loaded
}

// ServerConfig requires a certificate of the authority from each client.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return i.current(time.Now()).certificate, nil
		},
		VerifyConnection: i.verifier(x509.ExtKeyUsageClientAuth),
	}
}

// ClientConfig presents the certificate and requires one of the authority from
// the server.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard verification needs a host name. VerifyConnection replaces it
		// and checks the chain and the role.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.current(time.Now()).certificate, nil
		},
		VerifyConnection: i.verifier(x509.ExtKeyUsageServerAuth),
	}
}

var (
	errNoCertificate = errors.New("peertls: the peer sent no certificate")
	errNoRole        = errors.New("peertls: the certificate's organizational unit is neither router nor agent")
)

func (i *Identity) verifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errNoCertificate
		}
		leaf := state.PeerCertificates[0]
		intermediates := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:         i.current(time.Now()).authority,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return fmt.Errorf("peertls: %w", err)
		}
		if !hasRole(leaf, RoleRouter) && !hasRole(leaf, RoleAgent) {
			return errNoRole
		}
		return nil
	}
}

func hasRole(c *x509.Certificate, role string) bool {
	return slices.Contains(c.Subject.OrganizationalUnit, role)
}

// RequireRouter passes a request on only when its client's certificate is a
// router's. Paths for which open returns true are passed on for every role. A
// request without TLS is passed on: the process runs without it by its settings.
func RequireRouter(open func(path string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || open(r.URL.Path) || hasRole(r.TLS.PeerCertificates[0], RoleRouter) {
			next.ServeHTTP(w, r)
			return
		}
		http.Error(w, "this route is for routers", http.StatusForbidden)
	})
}
