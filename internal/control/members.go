package control

import (
	"context"
	"fmt"

	"sapphirespread.example/internal/operator"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/replica"
)

// Members returns the control instances of the cluster.
func (c *Control) Members(ctx context.Context) ([]operator.Member, error) {
	if err := c.requireLease(ctx); err != nil {
		return nil, err
	}
	status := c.store.Status()
	members := make([]operator.Member, 0, len(status.Members))
	for _, member := range status.Members {
		members = append(members, operator.Member{
			Name:    member.Name,
			Address: member.Address,
			Role:    roleOf(member, status.Leader),
			Match:   member.Match,
		})
	}
	return members, nil
}

// memberAddresses returns the peer addresses of the control instances if membership can change without an operator.
// Otherwise it returns nil, and daemons use the addresses in their settings.
func (c *Control) memberAddresses() []string {
	if c.settings.Voters == 0 {
		return nil
	}
	members := c.store.Members()
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address.String())
	}
	return addresses
}

func roleOf(member replica.MemberStatus, leader replica.ID) operator.Role {
	switch {
	case member.ID == leader:
		return operator.RoleLeader
	case member.Role == replica.Voter:
		return operator.RoleVoter
	default:
		return operator.RoleLearner
	}
}

// AddMember adds an empty instance that has requested to join, as a learner.
func (c *Control) AddMember(ctx context.Context, m operator.NewMember) error {
	if err := c.requireLease(ctx); err != nil {
		return err
	}
	if err := c.checkAnnounced(m); err != nil {
		return err
	}
	return c.changeMember(ctx, "added as a learner", m.Name, c.store.AddLearner)
}

// checkAnnounced fails unless an instance has requested to join with the given name and address.
func (c *Control) checkAnnounced(m operator.NewMember) error {
	for _, announced := range c.store.Status().Announced {
		if announced.Name != m.Name {
			continue
		}
		if announced.Address != m.Address {
			detail := fmt.Sprintf("member %s asks to join from %s, not from %s", m.Name, announced.Address, m.Address)
			return operator.NewFailure(operator.Invalid, detail)
		}
		return nil
	}
	return operator.NewFailure(operator.NotFound, "no empty instance named "+m.Name+" asks to join")
}

// PromoteMember makes a learner a voter once it has caught up with the log.
func (c *Control) PromoteMember(ctx context.Context, name string) error {
	return c.changeMember(ctx, "promoted to voter", name, c.store.Promote)
}

// RemoveMember removes a member from the cluster.
func (c *Control) RemoveMember(ctx context.Context, name string) error {
	return c.changeMember(ctx, "removed", name, c.store.Remove)
}

func (c *Control) changeMember(ctx context.Context, change, name string, apply func(context.Context, string) error) error {
	if err := apply(ctx, name); err != nil {
		return c.memberFailure(ctx, err)
	}
	c.record("members", "member "+name+" "+change)
	c.logger.Info().Str("member", name).Msg("control: member " + change)
	return nil
}

// memberFailure converts an error of a membership change to an operator failure. Errors without a specific failure
// become Invalid and carry the reason given by the replica.
func (c *Control) memberFailure(ctx context.Context, err error) error {
	failure := c.operatorFailure(ctx, err)
	if operator.FailureOf(failure).Kind == operator.Internal {
		return operator.NewFailure(operator.Invalid, err.Error())
	}
	return failure
}

// serveOperatorsAddress sends the address of this instance's operator API to another instance.
func (c *Control) serveOperatorsAddress(_ context.Context, _ peer.Identity, stream *peer.Stream) {
	_ = stream.Send(&peerpb.Redirect{Leader: c.settings.Name, Address: c.OperatorsAddress().String()})
}
