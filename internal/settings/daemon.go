package settings

import (
	"net/netip"
	"time"
)

const (
	defaultFreshness = 3 * time.Second
	// defaultFarCost treats all failure domains alike once the near targets show pressure.
	defaultFarCost = 1
)

// Daemon is the settings of a daemon.
type Daemon struct {
	Name          string `toml:"name"`
	Cluster       string `toml:"cluster"`
	FailureDomain string `toml:"failure-domain"`
	// Service is that of the backend server beside the daemon, where its backend servers are told who calls them.
	Service         string           `toml:"service"`
	CallersListen   netip.AddrPort   `toml:"callers-listen"`
	PeerListen      netip.AddrPort   `toml:"peer-listen"`
	PeerAdvertise   netip.AddrPort   `toml:"peer-advertise"`
	SubcallsListen  netip.AddrPort   `toml:"subcalls-listen"`
	OperatorsListen netip.AddrPort   `toml:"operators-listen"`
	Control         []netip.AddrPort `toml:"control"`
	Freshness       time.Duration    `toml:"freshness"`
	// FarCost is how many times as dear a target of another failure domain is taken to be.
	FarCost float64 `toml:"far-cost"`
	// Coasting is how long workspaces may spend at their lately observed rate while no leader grants tokens.
	Coasting time.Duration `toml:"coasting"`
	Timeouts Timeouts      `toml:"timeouts"`
	Log      Log           `toml:"log"`
	TLS      TLS           `toml:"tls"`
}

// LoadDaemon reads and checks the settings file of a daemon; the error is configuration.Problems with all that is wrong.
func LoadDaemon(path string) (Daemon, error) {
	d := Daemon{
		Freshness: defaultFreshness,
		FarCost:   defaultFarCost,
		Timeouts:  defaultTimeouts(),
		Log:       defaultLog(),
	}
	c := decode(path, &d)
	c.daemon(d)
	if !d.PeerAdvertise.IsValid() {
		d.PeerAdvertise = d.PeerListen
	}
	return d, c.problems.Err()
}
