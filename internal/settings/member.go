package settings

import "net/netip"

// A Member is one control instance of the cluster.
type Member struct {
	Name    string         `toml:"name"`
	Address netip.AddrPort `toml:"address"`
}
