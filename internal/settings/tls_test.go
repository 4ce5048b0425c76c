package settings_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sapphirespread.example/internal/settings"
)

const daemonSettings = `name = "d"
cluster = "c"
failure-domain = "east"
callers-listen = "127.0.0.1:8001"
peer-listen = "127.0.0.1:8002"
subcalls-listen = "127.0.0.1:8003"
operators-listen = "127.0.0.1:8004"
control = ["127.0.0.1:7001"]
[tls]
cert-file = %q
key-file = %q
ca-file = %q
`

// TestCertificatesAreChecked loads settings with matching and with mismatched PEM files.
func TestCertificatesAreChecked(t *testing.T) {
	folder := t.TempDir()
	cert, key := writeKeyPair(t, folder, 1)
	_, otherKey := writeKeyPair(t, folder, 2)
	for _, c := range []struct {
		cert, key, ca string
		want          string
	}{
		{cert, key, cert, ""},
		{cert, otherKey, cert, ":10: tls.cert-file: got tls: private key does not match public key"},
		{cert, key, key, ":12: tls.ca-file: got no certificate in the file"},
		{key, key, cert, ":10: tls.cert-file: got tls: failed to find certificate PEM data"},
	} {
		path := filepath.Join(folder, "daemon.toml")
		writeFile(t, path, fmt.Appendf(nil, daemonSettings, c.cert, c.key, c.ca))
		_, err := settings.LoadDaemon(path)
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), path+c.want) {
			t.Errorf("got %v, want %q", err, c.want)
		}
	}
}

// writeKeyPair writes a self-signed certificate and its private key and returns their paths.
func writeKeyPair(t *testing.T, folder string, serial byte) (cert, key string) {
	t.Helper()
	private := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+serial)), ed25519.SeedSize)))
	template := &x509.Certificate{SerialNumber: big.NewInt(int64(serial))}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert = filepath.Join(folder, fmt.Sprintf("cert-%d.pem", serial))
	key = filepath.Join(folder, fmt.Sprintf("key-%d.pem", serial))
	writeFile(t, cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(t, key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}))
	return cert, key
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}
