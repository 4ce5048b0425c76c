package daemon

import (
	"time"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/limit"
)

// ask returns tokens that are not wanted, and asks for those that demand calls for.
func (s *linkSession) ask() error {
	now := boottime.Now()
	if err := s.sendReturns(s.link.daemon.holder.CollectReturns(now)); err != nil {
		return err
	}
	wanted := s.link.daemon.holder.GrantRequests(now)
	if len(wanted) == 0 {
		return nil
	}
	asks := &peerpb.Asks{Asks: make([]*peerpb.Ask, 0, len(wanted))}
	for _, ask := range wanted {
		asks.Asks = append(asks.Asks, &peerpb.Ask{
			Id:        ask.ID,
			Workspace: ask.Workspace,
			Tokens:    ask.Tokens,
			Waiting:   ask.Waiting,
		})
	}
	return s.stream.Send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Asks{Asks: asks}})
}

func (s *linkSession) sendReturns(unspent []limit.Return) error {
	if len(unspent) == 0 {
		return nil
	}
	returns := &peerpb.Returns{Returns: make([]*peerpb.Return, 0, len(unspent))}
	for _, part := range unspent {
		returns.Returns = append(returns.Returns, &peerpb.Return{
			GrantId:   part.GrantID,
			Workspace: part.Workspace,
			Tokens:    part.Tokens,
		})
	}
	return s.stream.Send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Returns{Returns: returns}})
}

// acceptGrants hands grants to the calls that wait for them. No grants tell that the owner holds asks back.
func (s *linkSession) acceptGrants(grants []*peerpb.Grant) {
	d := s.link.daemon
	if len(grants) == 0 {
		d.holder.RecordHeartbeat(boottime.Now())
	}
	for _, granted := range grants {
		now := boottime.Now()
		grant := limit.Grant{
			ID:         granted.GetId(),
			Workspace:  granted.GetWorkspace(),
			Tokens:     granted.GetTokens(),
			Duration:   time.Duration(granted.GetDurationUs()) * time.Microsecond,
			RetryAfter: time.Duration(granted.GetRetryAfterUs()) * time.Microsecond,
		}
		freed := d.holder.Accept(now, grant)
		if freed {
			d.tokenWait.serveQueue(now, grant.Workspace)
			continue
		}
		if grant.RetryAfter > 0 {
			d.tokenWait.refuseExpiring(now.Add(grant.RetryAfter), grant.Workspace)
		}
	}
}
