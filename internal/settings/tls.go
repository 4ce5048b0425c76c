package settings

// TLS names the PEM files for sessions between processes; sessions are not encrypted where all are empty.
type TLS struct {
	CertFile string `toml:"cert-file"`
	KeyFile  string `toml:"key-file"`
	CAFile   string `toml:"ca-file"`
}

// Enabled reports whether sessions between processes are encrypted.
func (t TLS) Enabled() bool { return t != TLS{} }
