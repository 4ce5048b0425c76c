package store

import (
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/replica"
)

const (
	defaultElectionTimeout = time.Second
	defaultHeartbeat       = 100 * time.Millisecond
	minimumBeats           = 3
)

// A Member is a configured control instance.
type Member struct {
	Name    string
	Address netip.AddrPort
}

// Settings configure a store; Members include the instance itself unless Join is set.
type Settings struct {
	Name       string
	Cluster    string
	DataFolder string
	Members    []Member
	// Address is where members reach this instance; by default that of its name in Members.
	Address netip.AddrPort
	// Join keeps an instance with an empty data folder from founding a cluster.
	Join bool
	// Voters is how many voters an open membership has, see replica.WithOpenMembership; zero leaves members to operators.
	Voters          int
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
}

// withDefaults returns checked settings.
func (s Settings) withDefaults() (Settings, error) {
	if s.ElectionTimeout == 0 {
		s.ElectionTimeout = defaultElectionTimeout
	}
	if s.Heartbeat == 0 {
		s.Heartbeat = min(defaultHeartbeat, s.ElectionTimeout/minimumBeats)
	}
	self := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == s.Name })
	if self >= 0 && !s.Address.IsValid() {
		s.Address = s.Members[self].Address
	}
	switch {
	case s.Name == "":
		return s, errorx.IllegalArgument.New("checking store settings: the name is empty")
	case s.Heartbeat <= 0 || s.ElectionTimeout < minimumBeats*s.Heartbeat:
		return s, errorx.IllegalArgument.New("checking store settings: the election timeout %s must be at least %d heartbeats of %s",
			s.ElectionTimeout, minimumBeats, s.Heartbeat)
	case self < 0 && !s.Join:
		return s, errorx.IllegalArgument.New("checking store settings: members lack %q", s.Name)
	case !s.Address.IsValid():
		return s, errorx.IllegalArgument.New("checking store settings: %q has no address", s.Name)
	}
	return s, s.checkMembers()
}

func (s Settings) checkMembers() error {
	for i, member := range s.Members {
		for _, other := range s.Members[:i] {
			if member.Name == other.Name || member.Address == other.Address {
				return errorx.IllegalArgument.New("checking store settings: members %q and %q share a name or address",
					other.Name, member.Name)
			}
		}
	}
	return nil
}

func (s Settings) peers() []replica.Peer {
	var peers []replica.Peer
	for _, member := range s.Members {
		peers = append(peers, replica.Peer{Name: member.Name, Address: member.Address})
	}
	return peers
}
