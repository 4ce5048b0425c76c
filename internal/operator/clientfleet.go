package operator

import (
	"context"
	"io"

	"sapphirespread.example/internal/api/oas"
	"sapphirespread.example/internal/membership/evacuation"
)

// Targets returns the announced targets.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Targets, error) {
		return client.Targets(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapSlice(response.Targets, decodeTarget), nil
}

// Quarantine returns the suspect and quarantined requests.
func (c *Client) Quarantine(ctx context.Context) ([]QuarantineEntry, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Quarantine, error) {
		return client.Quarantine(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapSlice(response.Entries, decodeQuarantineEntry), nil
}

// Release releases a quarantined request.
func (c *Client) Release(ctx context.Context, fingerprint string) error {
	return c.doWithoutResult(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.Release(ctx, oas.ReleaseParams{Fingerprint: fingerprint})
	})
}

// FailureDomains returns the failure domains that the leader knows.
func (c *Client) FailureDomains(ctx context.Context) (FailureDomains, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.FailureDomains, error) {
		return client.FailureDomains(ctx)
	})
	if err != nil {
		return FailureDomains{}, err
	}
	return decodeFailureDomains(response), nil
}

// OrderFailureDomain takes a failure domain out of use, or back into use.
func (c *Client) OrderFailureDomain(ctx context.Context, order evacuation.Order) error {
	return c.doWithoutResult(ctx, func(ctx context.Context, client *oas.Client) error {
		if order.Out {
			return client.TakeFailureDomainOut(ctx, oas.TakeFailureDomainOutParams{Name: order.Domain})
		}
		return client.TakeFailureDomainBack(ctx, oas.TakeFailureDomainBackParams{Name: order.Domain})
	})
}

// Members returns the control instances of the cluster.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Members, error) {
		return client.Members(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapSlice(response.Members, decodeMember), nil
}

// AddMember adds a control instance to the cluster as a non-voting learner.
func (c *Client) AddMember(ctx context.Context, m NewMember) error {
	return c.doWithoutResult(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.AddMember(ctx, &oas.NewMember{Name: m.Name, Address: m.Address.String()})
	})
}

// PromoteMember makes a learner that has caught up a voter.
func (c *Client) PromoteMember(ctx context.Context, name string) error {
	return c.doWithoutResult(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.PromoteMember(ctx, oas.PromoteMemberParams{Name: name})
	})
}

// RemoveMember removes a control instance from the cluster.
func (c *Client) RemoveMember(ctx context.Context, name string) error {
	return c.doWithoutResult(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.RemoveMember(ctx, oas.RemoveMemberParams{Name: name})
	})
}

// Status returns the cluster status known to the first instance that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Status, error) {
		return client.Status(ctx)
	})
	if err != nil {
		return Status{}, err
	}
	return decodeStatus(response), nil
}

// Timeline returns the events of the first instance that responds, one JSON object per line.
func (c *Client) Timeline(ctx context.Context) (io.Reader, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (oas.TimelineOK, error) {
		return client.Timeline(ctx)
	})
	return response.Data, err
}

// Ready returns nil once one instance is ready, or the last error after the retry timeout.
func (c *Client) Ready(ctx context.Context) error {
	return c.doWithoutResult(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.Ready(ctx)
	})
}

func (c *Client) doWithoutResult(ctx context.Context, request func(context.Context, *oas.Client) error) error {
	_, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (struct{}, error) {
		return struct{}{}, request(ctx, client)
	})
	return err
}
