package secure_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/internal/secure"
	"sapphirespread.example/internal/settings"
)

// An authority is the certificate authority of one cluster.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	a := authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate = sign(t, template, template, &a.key.PublicKey, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

// writeFiles writes a certificate signed by a, its private key and the CA certificate of trusted, and returns their
// paths.
func (a authority) writeFiles(t *testing.T, trusted authority) settings.TLS {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	certificate := sign(t, template, a.certificate, &key.PublicKey, a.key)
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return settings.TLS{
		CertFile: write("cert.pem", "CERTIFICATE", certificate.Raw),
		KeyFile:  write("key.pem", "EC PRIVATE KEY", raw),
		CAFile:   write("ca.pem", "CERTIFICATE", trusted.certificate.Raw),
	}
}

func load(t *testing.T, files settings.TLS) *tls.Config {
	t.Helper()
	config, err := secure.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestOnlyPeersOfTheSameAuthorityConnect(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := peer.Identity{Cluster: "one", Process: "server", Incarnation: 1}
	server := peer.NewServer(self, peer.WithServerTLS(load(t, own.writeFiles(t, own))))
	server.Handle("echo", func(_ context.Context, _ peer.Identity, stream *peer.Stream) {
		var frame peerpb.Frame
		if stream.Receive(&frame) == nil {
			_ = stream.Send(&frame)
		}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	cases := []struct {
		name     string
		config   *tls.Config
		connects bool
	}{
		{"own authority", load(t, own.writeFiles(t, own)), true},
		{"certificate of another authority", load(t, foreign.writeFiles(t, own)), false},
		{"trust in another authority", load(t, own.writeFiles(t, foreign)), false},
		{"no TLS", nil, false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := peer.NewPool(peer.Identity{Cluster: "one", Process: "client", Incarnation: 2}, peer.WithPoolTLS(c.config))
			defer func() { _ = pool.Close() }()
			stream, err := pool.Open(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), "echo")
			if err == nil {
				err = stream.Send(&peerpb.Frame{CallId: 4})
			}
			var got peerpb.Frame
			if err == nil {
				err = stream.Receive(&got)
			}
			if connected := err == nil && got.GetCallId() == 4; connected != c.connects {
				t.Errorf("connected = %v, want %v (%v)", connected, c.connects, err)
			}
		})
	}
}

func TestLoadWithoutSettingsAndWithInvalidCA(t *testing.T) {
	if config, err := secure.Load(settings.TLS{}); config != nil || err != nil {
		t.Errorf("without TLS settings: got %v, %v, want nil, nil", config, err)
	}
	files := newAuthority(t).writeFiles(t, newAuthority(t))
	files.CAFile = files.KeyFile
	if _, err := secure.Load(files); err == nil {
		t.Error("Load accepted a private key as a CA certificate")
	}
}
