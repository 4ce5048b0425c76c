package message

import (
	"fmt"
	"net/netip"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/peer/peerpb"
)

// EncodeTarget encodes a target.
func EncodeTarget(t target.Target) *peerpb.Announce {
	return &peerpb.Announce{
		Target:        t.Name,
		Service:       t.Service,
		FailureDomain: t.FailureDomain,
		PeerAddress:   t.Peer.String(),
		Incarnation:   t.Incarnation,
		Slots:         int32(t.Slots),
		State:         string(t.State),
		InFlight:      int32(t.InFlight),
		Daemon:        t.Daemon,
		Connections:   int32(t.Connections),
	}
}

// DecodeTarget decodes a target. It returns an error if the peer address of its daemon is malformed.
func DecodeTarget(encoded *peerpb.Announce) (target.Target, error) {
	address, err := netip.ParseAddrPort(encoded.GetPeerAddress())
	if err != nil {
		return target.Target{}, fmt.Errorf("decoding target %s: %w", encoded.GetTarget(), err)
	}
	return target.Target{
		Name:          encoded.GetTarget(),
		Service:       encoded.GetService(),
		FailureDomain: encoded.GetFailureDomain(),
		Daemon:        encoded.GetDaemon(),
		Peer:          address,
		Incarnation:   encoded.GetIncarnation(),
		Slots:         int(encoded.GetSlots()),
		InFlight:      int(encoded.GetInFlight()),
		Connections:   int(encoded.GetConnections()),
		State:         target.State(encoded.GetState()),
	}, nil
}
