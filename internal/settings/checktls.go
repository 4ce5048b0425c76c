package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// tls reports files that can't be read, a key that does not fit its certificate, and authorities without a certificate.
func (c *checker) tls(t TLS) {
	if !t.Enabled() {
		return
	}
	cert := c.readable("tls.cert-file", t.CertFile)
	key := c.readable("tls.key-file", t.KeyFile)
	authorities := c.readable("tls.ca-file", t.CAFile)
	if cert != nil && key != nil {
		if _, err := tls.X509KeyPair(cert, key); err != nil {
			c.report("tls.cert-file", err.Error(), "a PEM certificate and, in tls.key-file, the key that fits it")
		}
	}
	if authorities != nil && !x509.NewCertPool().AppendCertsFromPEM(authorities) {
		c.report("tls.ca-file", "no certificate in the file", "PEM certificates")
	}
}

// readable returns what the file holds, or nil where it is reported.
func (c *checker) readable(name, path string) []byte {
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
