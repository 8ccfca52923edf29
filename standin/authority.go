package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// certificateLifetime is short, since the certificates are for tests and trials only.
const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority that signs certificates for the processes
// of a site in tests and trials.
type Authority struct {
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	der    []byte
	serial int64
}

// CertificateFiles are the paths of the PEM files of one process.
type CertificateFiles struct {
	Certificate string
	Key         string
	CA          string
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate the CA key: %w", err)
	}
	template := certificateTemplate(1, pkix.Name{CommonName: "stand-in authority"})
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.BasicConstraintsValid = true
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create the CA certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse the CA certificate: %w", err)
	}
	return &Authority{key: key, cert: cert, der: der, serial: 1}, nil
}

func certificateTemplate(serial int64, subject pkix.Name) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      subject,
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(certificateLifetime),
	}
}

// Issue creates a key and a certificate for a process of the given role and writes
// them to files in dir. A repeated call replaces the files.
func (a *Authority) Issue(dir, role string) (CertificateFiles, error) {
	a.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return CertificateFiles{}, fmt.Errorf("generate the process key: %w", err)
	}
	template := certificateTemplate(a.serial, pkix.Name{CommonName: "process", OrganizationalUnit: []string{role}})
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return CertificateFiles{}, fmt.Errorf("sign the process certificate: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return CertificateFiles{}, fmt.Errorf("encode the process key: %w", err)
	}
	files := CertificateFiles{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
	return files, a.write(files, der, keyDER)
}

func (a *Authority) write(files CertificateFiles, der, keyDER []byte) error {
	contents := []struct {
		path, kind string
		der        []byte
	}{
		{files.Certificate, "CERTIFICATE", der},
		{files.Key, "EC PRIVATE KEY", keyDER},
		{files.CA, "CERTIFICATE", a.der},
	}
	for _, c := range contents {
		data := pem.EncodeToMemory(&pem.Block{Type: c.kind, Bytes: c.der})
		if err := os.WriteFile(c.path, data, 0o600); err != nil {
			return fmt.Errorf("write TLS file: %w", err)
		}
	}
	return nil
}
