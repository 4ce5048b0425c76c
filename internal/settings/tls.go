package settings

// TLS holds the paths of the PEM files for sessions between processes, which are not encrypted if all paths are empty.
type TLS struct {
	CertFile string `toml:"cert-file"`
	KeyFile  string `toml:"key-file"`
	CAFile   string `toml:"ca-file"`
}

// Enabled reports whether sessions between processes are encrypted.
func (t TLS) Enabled() bool { return t != TLS{} }
