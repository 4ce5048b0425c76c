package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// checkTLS reports unreadable files, a private key that does not match its certificate, and a CA file without a
// certificate.
func (c *checker) checkTLS(t TLS) {
	if !t.Enabled() {
		return
	}
	cert := c.readFile("tls.cert-file", t.CertFile)
	key := c.readFile("tls.key-file", t.KeyFile)
	authorities := c.readFile("tls.ca-file", t.CAFile)
	if cert != nil && key != nil {
		if _, err := tls.X509KeyPair(cert, key); err != nil {
			c.report("tls.cert-file", err.Error(), "a PEM certificate and, in tls.key-file, the key that fits it")
		}
	}
	if authorities != nil && !x509.NewCertPool().AppendCertsFromPEM(authorities) {
		c.report("tls.ca-file", "no certificate in the file", "PEM certificates")
	}
}

// readFile returns the content of the file that the setting name points to. It reports a file that it can't read and
// returns nil.
func (c *checker) readFile(name, path string) []byte {
	if path == "" {
		c.report(name, "nothing", "a file, since another file of the tls table is named")
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		c.report(name, err.Error(), "a readable file")
		return nil
	}
	return content
}
