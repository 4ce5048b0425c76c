package daemon

import (
	"time"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/limit"
)

// requestGrants returns idle tokens to control, tells it of fallback spending, and sends the grant requests that current
// demand calls for.
func (s *linkSession) requestGrants() error {
	now := boottime.Now()
	holder := s.link.daemon.holder
	if err := s.sendReturns(holder.CollectReturns(now), holder.CollectFallbackSpending(now)); err != nil {
		return err
	}
	requests := holder.GrantRequests(now)
	if len(requests) == 0 {
		return nil
	}
	encoded := &peerpb.Asks{Asks: make([]*peerpb.Ask, 0, len(requests))}
	for _, request := range requests {
		encoded.Asks = append(encoded.Asks, &peerpb.Ask{
			Id:        request.ID,
			Workspace: request.Workspace,
			Tokens:    request.Tokens,
			Waiting:   request.Waiting,
		})
	}
	return s.stream.Send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Asks{Asks: encoded}})
}

func (s *linkSession) sendReturns(returned []limit.Return, spending []limit.FallbackSpending) error {
	if len(returned)+len(spending) == 0 {
		return nil
	}
	encoded := &peerpb.Returns{Returns: make([]*peerpb.Return, 0, len(returned))}
	for _, tokens := range returned {
		encoded.Returns = append(encoded.Returns, &peerpb.Return{
			GrantId:   tokens.GrantID,
			Workspace: tokens.Workspace,
			Tokens:    tokens.Tokens,
		})
	}
	for _, spent := range spending {
		encoded.FallbackSpending = append(encoded.FallbackSpending, &peerpb.FallbackSpending{
			Workspace: spent.Workspace,
			Total:     spent.Total,
			Recent:    spent.Recent,
			PeriodUs:  spent.Period.Microseconds(),
		})
	}
	return s.stream.Send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Returns{Returns: encoded}})
}

// acceptGrants adds grants to the holder and serves or refuses the waiting calls. An empty message is a heartbeat of an
// owner that defers grant requests.
func (s *linkSession) acceptGrants(encodedGrants []*peerpb.Grant) {
	d := s.link.daemon
	if len(encodedGrants) == 0 {
		d.holder.RecordHeartbeat(boottime.Now())
	}
	for _, encoded := range encodedGrants {
		now := boottime.Now()
		grant := limit.Grant{
			ID:         encoded.GetId(),
			Workspace:  encoded.GetWorkspace(),
			Tokens:     encoded.GetTokens(),
			Duration:   time.Duration(encoded.GetDurationUs()) * time.Microsecond,
			RetryAfter: time.Duration(encoded.GetRetryAfterUs()) * time.Microsecond,

			FallbackShare: encoded.GetFallbackShare(),
		}
		hasTokens := d.holder.Accept(now, grant)
		if hasTokens {
			d.rateLimiter.serveQueue(now, grant.Workspace)
			continue
		}
		if grant.RetryAfter > 0 {
			d.rateLimiter.refuseExpiring(now.Add(grant.RetryAfter), grant.Workspace)
		}
	}
}
