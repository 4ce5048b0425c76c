package message

import (
	"fmt"
	"net/netip"

	"github.com/joomcode/errorx"

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
		StartedAtUs:   EncodeStartTime(t.StartedAt),
		Pace:          uint32(t.Pace),
	}
}

// DecodeTarget decodes a target. It returns an error if the target can't be called: its name, service or state is unknown,
// its number of slots is out of range, or the peer address of its daemon is malformed.
func DecodeTarget(encoded *peerpb.Announce) (target.Target, error) {
	address, err := netip.ParseAddrPort(encoded.GetPeerAddress())
	if err != nil {
		return target.Target{}, fmt.Errorf("decoding target %q: %w", encoded.GetTarget(), err)
	}
	switch {
	case encoded.GetTarget() == "" || encoded.GetService() == "":
		return target.Target{}, errorx.IllegalFormat.New("decoding target %q of service %q: a name is missing", encoded.GetTarget(), encoded.GetService())
	case address.Port() == 0:
		return target.Target{}, errorx.IllegalFormat.New("decoding target %q: port 0", encoded.GetTarget())
	case encoded.GetSlots() < 0 || encoded.GetSlots() > target.MaxSlots:
		return target.Target{}, errorx.IllegalFormat.New("decoding target %q: %d slots", encoded.GetTarget(), encoded.GetSlots())
	case !target.State(encoded.GetState()).Valid():
		return target.Target{}, errorx.IllegalFormat.New("decoding target %q: state %q", encoded.GetTarget(), encoded.GetState())
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
		StartedAt:     DecodeStartTime(encoded.GetStartedAtUs()),
		State:         target.State(encoded.GetState()),
		Pace:          DecodePace(encoded.GetPace()),
	}, nil
}
