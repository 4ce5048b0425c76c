package settings

import (
	"net/netip"
	"time"
)

const (
	defaultElectionTimeout = time.Second
	defaultHeartbeat       = 100 * time.Millisecond
)

// Control holds the settings of a control instance.
type Control struct {
	Name            string         `toml:"name"`
	Cluster         string         `toml:"cluster"`
	FailureDomain   string         `toml:"failure-domain"`
	PeerListen      netip.AddrPort `toml:"peer-listen"`
	PeerAdvertise   netip.AddrPort `toml:"peer-advertise"`
	OperatorsListen netip.AddrPort `toml:"operators-listen"`
	DataFolder      string         `toml:"data-folder"`
	Members         []Member       `toml:"members"`
	Join            bool           `toml:"join"`
	// Voters is the number of voters that the leader maintains by admitting announced instances, or zero if operators
	// manage the members.
	Voters          int           `toml:"voters"`
	ElectionTimeout time.Duration `toml:"election-timeout"`
	Heartbeat       time.Duration `toml:"heartbeat"`
	Timeouts        Timeouts      `toml:"timeouts"`
	Log             Log           `toml:"log"`
	Resources       Resources     `toml:"resources"`
	TLS             TLS           `toml:"tls"`
}

// LoadControl loads and checks the settings file of a control instance and returns all problems as
// configuration.Problems.
func LoadControl(path string) (Control, error) {
	s := Control{
		ElectionTimeout: defaultElectionTimeout,
		Heartbeat:       defaultHeartbeat,
		Timeouts:        defaultTimeouts(),
		Resources:       defaultResources(),
		Log:             defaultLog(),
	}
	c := decode(path, &s)
	c.checkControl(s)
	if !s.PeerAdvertise.IsValid() {
		s.PeerAdvertise = s.PeerListen
	}
	return s, c.problems.Err()
}
