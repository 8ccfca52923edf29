// Package peertls secures the traffic between processes with mutual TLS. Each process
// has a certificate signed by the site's own CA; the organizational unit of the
// certificate states the role, router or agent. Addresses are not checked against the
// certificate, because VMs are replaced at any time and are known by IP address only.
// The CA must therefore sign certificates for processes of the system and for nothing
// else. Certificates are reloaded when their files change.
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

// Values of the organizational unit of a certificate.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = 5 * time.Second

// Files are the PEM files of one process.
type Files struct {
	// Certificate is the path of the certificate chain.
	Certificate string
	// Key is the path of the private key.
	Key string
	// CA is the path of the CA certificates that the peers' certificates must chain
	// to.
	CA string
}

// Identity holds the certificate of a process and the CA that it trusts. It is safe
// for concurrent use.
type Identity struct {
	files Files
	// onReload is called after each reload; err is nil if it succeeded.
	onReload func(err error)

	mu        sync.Mutex
	loaded    credentials
	lastCheck time.Time
}

// credentials is the content of the files at one time.
type credentials struct {
	certificate *tls.Certificate
	caPool      *x509.CertPool
	modified    modTimes
}

// modTimes are the modification times of the three files. All three are compared
// rather than the latest one, because a new file may be older than another file.
type modTimes [3]time.Time

// Load reads the files. The function onReload, if not nil, is called after each later
// reload; when a reload fails, the previous certificate stays in use.
func Load(files Files, onReload func(err error)) (*Identity, error) {
	if onReload == nil {
		onReload = func(error) {}
	}
	creds, err := readCredentials(files)
	if err != nil {
		return nil, err
	}
	return &Identity{files: files, onReload: onReload, loaded: creds, lastCheck: time.Now()}, nil
}

func readCredentials(files Files) (credentials, error) {
	modified, err := readModTimes(files)
	if err != nil {
		return credentials{}, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return credentials{}, fmt.Errorf("load certificate %s: %w", files.Certificate, err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return credentials{}, fmt.Errorf("read CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentials{}, fmt.Errorf("read CA certificates: %s contains no PEM certificate", files.CA)
	}
	return credentials{certificate: &certificate, caPool: pool, modified: modified}, nil
}

func readModTimes(files Files) (modTimes, error) {
	var times modTimes
	for i, path := range []string{files.Certificate, files.Key, files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return modTimes{}, fmt.Errorf("read TLS file: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// current returns the credentials in use. It reloads them first if the files changed
// and the last check is at least reloadInterval ago.
func (i *Identity) current(now time.Time) credentials {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.lastCheck) < reloadInterval {
		return i.loaded
	}
	i.lastCheck = now
	modified, err := readModTimes(i.files)
	if err == nil && modified == i.loaded.modified {
		return i.loaded
	}
	creds, err := readCredentials(i.files)
	i.onReload(err)
	if err == nil {
		i.loaded = creds
	}
	return i.loaded
}

// ServerConfig returns a TLS configuration that requires from each client a
// certificate of the CA with a known role.
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

// ClientConfig returns a TLS configuration that presents the certificate and requires
// from the server a certificate of the CA with a known role.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard verification requires a matching host name. VerifyConnection
		// replaces it and checks the chain and the role.
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

// verifier returns a check of the peer's certificate chain, key usage and role.
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
			Roots:         i.current(time.Now()).caPool,
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

// RequireRouter passes a request to next only if the client certificate has the role
// router. Requests for paths for which open returns true are passed for every role.
// A request without TLS is passed as well, because then the settings of the process
// have TLS disabled.
func RequireRouter(open func(path string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || open(r.URL.Path) || hasRole(r.TLS.PeerCertificates[0], RoleRouter) {
			next.ServeHTTP(w, r)
			return
		}
		http.Error(w, "this route is for routers", http.StatusForbidden)
	})
}
