package store

import (
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/replica"
)

const (
	defaultElectionTimeout   = time.Second
	defaultHeartbeat         = 100 * time.Millisecond
	minHeartbeatsPerElection = 3
)

// A Member is the name and peer address of a configured control instance.
type Member struct {
	Name    string
	Address netip.AddrPort
}

// Settings configures a store. Members must include the instance itself unless Join is set.
type Settings struct {
	Name       string
	Cluster    string
	DataFolder string
	Members    []Member
	// Address is the peer address of this instance, by default its address in Members.
	Address netip.AddrPort
	// Join makes an instance with an empty data folder join an existing cluster instead of founding one.
	Join bool
	// Voters is the number of voters of an open membership, see replica.WithOpenMembership. Zero means that only operators
	// change the members.
	Voters          int
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
}

// withDefaults returns the validated settings with defaults for missing values.
func (s Settings) withDefaults() (Settings, error) {
	if s.ElectionTimeout == 0 {
		s.ElectionTimeout = defaultElectionTimeout
	}
	if s.Heartbeat == 0 {
		s.Heartbeat = min(defaultHeartbeat, s.ElectionTimeout/minHeartbeatsPerElection)
	}
	self := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == s.Name })
	if self >= 0 && !s.Address.IsValid() {
		s.Address = s.Members[self].Address
	}
	switch {
	case s.Name == "":
		return s, errorx.IllegalArgument.New("checking store settings: the name is empty")
	case s.Heartbeat <= 0 || s.ElectionTimeout < minHeartbeatsPerElection*s.Heartbeat:
		return s, errorx.IllegalArgument.New("checking store settings: the election timeout %s must be at least %d heartbeats of %s",
			s.ElectionTimeout, minHeartbeatsPerElection, s.Heartbeat)
	case self < 0 && !s.Join:
		return s, errorx.IllegalArgument.New("checking store settings: members lack %q", s.Name)
	case !s.Address.IsValid():
		return s, errorx.IllegalArgument.New("checking store settings: %q has no address", s.Name)
	}
	return s, s.validateMembers()
}

func (s Settings) validateMembers() error {
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
