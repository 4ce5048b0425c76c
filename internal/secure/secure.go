package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"sapphirespread.example/internal/settings"
)

var errNoCertificates = errors.New("no certificate in the file")

// Load returns the mutual TLS configuration built from the given files, nil if files is empty, or an error if a file
// can't be loaded.
func Load(files settings.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("loading certificate %s: %w", files.CertFile, err)
	}
	authorities, err := loadAuthorities(files.CAFile)
	if err != nil {
		return nil, err
	}
	return New(certificate, authorities), nil
}

// New returns a TLS configuration for clients and servers that requires a peer certificate signed by one of
// authorities.
func New(certificate tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		// Peers are identified by address, so verifyPeer verifies the certificate chain without a host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyPeer(state, authorities) },
	}
}

// verifyPeer returns an error unless the certificate of the peer chains up to one of authorities.
func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

func loadAuthorities(path string) (*x509.CertPool, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading CA certificates from %s: %w", path, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(encoded) {
		return nil, fmt.Errorf("reading CA certificates from %s: %w", path, errNoCertificates)
	}
	return authorities, nil
}
