package settings

import "net/netip"

// A Member is the name and peer address of a control instance in the cluster.
type Member struct {
	Name    string         `toml:"name"`
	Address netip.AddrPort `toml:"address"`
}
