package settings

import (
	"net/netip"
	"time"
)

const (
	defaultFreshness = 3 * time.Second
	// defaultFarCost gives targets in all failure domains the same cost once the local targets are under load.
	defaultFarCost = 1
)

// Daemon holds the settings of a daemon.
type Daemon struct {
	Name          string `toml:"name"`
	Cluster       string `toml:"cluster"`
	FailureDomain string `toml:"failure-domain"`
	// Service is the service of the local backend server, needed only if backend servers are sent the service of their
	// caller.
	Service         string           `toml:"service"`
	CallersListen   netip.AddrPort   `toml:"callers-listen"`
	PeerListen      netip.AddrPort   `toml:"peer-listen"`
	PeerAdvertise   netip.AddrPort   `toml:"peer-advertise"`
	SubcallsListen  netip.AddrPort   `toml:"subcalls-listen"`
	OperatorsListen netip.AddrPort   `toml:"operators-listen"`
	Control         []netip.AddrPort `toml:"control"`
	Freshness       time.Duration    `toml:"freshness"`
	// FarCost is the factor by which the cost of a target in another failure domain is multiplied.
	FarCost float64 `toml:"far-cost"`
	// ConnectionWait is how long a request waits for a connection to a backend server that states its pace, rather than
	// open a new one, if one is expected to be returned meanwhile.
	ConnectionWait time.Duration `toml:"connection-wait"`
	// Coasting is how long workspaces may spend at their recently observed rate while no leader grants tokens.
	Coasting time.Duration `toml:"coasting"`
	// LearnPace paces a backend server that starts, turns cold or fails by its answers, in place of the slow start of a fixed
	// time. A server whose service has a cold rate is paced in any case.
	LearnPace bool `toml:"learn-pace"`
	// ScarceServices makes the daemon refuse requests of callers before their first call if a service that they need
	// further down has no room for them.
	ScarceServices bool      `toml:"scarce-services"`
	Timeouts       Timeouts  `toml:"timeouts"`
	Log            Log       `toml:"log"`
	Resources      Resources `toml:"resources"`
	TLS            TLS       `toml:"tls"`
}

// LoadDaemon loads and checks the settings file of a daemon and returns all problems as configuration.Problems.
func LoadDaemon(path string) (Daemon, error) {
	d := Daemon{
		Freshness: defaultFreshness,
		FarCost:   defaultFarCost,
		Timeouts:  defaultTimeouts(),
		Resources: defaultResources(),
		Log:       defaultLog(),
	}
	c := decode(path, &d)
	c.checkDaemon(d)
	if !d.PeerAdvertise.IsValid() {
		d.PeerAdvertise = d.PeerListen
	}
	return d, c.problems.Err()
}
