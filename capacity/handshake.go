package capacity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"time"
)

const certificateLifetime = time.Hour

var handshakeCounts = []int{25, 50, 100, 200}

// MeasureHandshakes measures new connections with mutual TLS and ECDSA P-256
// certificates signed by one authority: bytes, and the processor time of both
// sides together. A router that probes an endpoint at longer intervals than the
// idle timeout of its connections pays this cost for each probe.
func MeasureHandshakes() ([]*Series, error) {
	group := newSeriesGroup(Control, "router and agent", "new connections with mutual TLS", []string{
		"bytes", "seconds of processor time, both sides",
	})
	config, err := mutualTLSConfig()
	if err != nil {
		return nil, err
	}
	for _, n := range handshakeCounts {
		for range repetitions {
			if err := measureHandshakes(n, config, group); err != nil {
				return nil, err
			}
		}
	}
	return group.finish(), nil
}

func measureHandshakes(n int, config *tls.Config, group *seriesGroup) error {
	listener, err := tls.Listen("tcp", loopbackAddress, config)
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- echoOneByte(listener) }()
	counter := &TrafficCounter{}
	before := ReadUsage()
	for range n {
		if err := handshake(counter, listener.Addr().String(), config); err != nil {
			_ = listener.Close()
			return err
		}
	}
	after := ReadUsage()
	_ = listener.Close()
	group.add(float64(n), float64(counter.Traffic().Bytes()), (after.CPU - before.GCDoneCPU).Seconds())
	return <-served
}

// handshake opens a connection and exchanges one byte, so that the session
// tickets that the server sends after the handshake are counted.
func handshake(counter *TrafficCounter, address string, config *tls.Config) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	client := tls.Client(&countedConn{Conn: conn, counter: counter}, config)
	defer client.Close()
	if _, err := client.Write([]byte{1}); err != nil {
		return err
	}
	_, err = io.ReadFull(client, make([]byte, 1))
	return err
}

func echoOneByte(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := io.CopyN(conn, conn, 1); err != nil {
			return fmt.Errorf("serve a handshake: %w", err)
		}
		_ = conn.Close()
	}
}

// mutualTLSConfig returns a configuration for client and server with a
// certificate for 127.0.0.1.
func mutualTLSConfig() (*tls.Config, error) {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(certificateLifetime),
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, NotAfter: time.Now().Add(certificateLifetime),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	root, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParseCertificate(root)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "127.0.0.1",
		MinVersion: tls.VersionTLS13,
	}, nil
}
