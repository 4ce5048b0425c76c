package operator

import (
	"context"
	"io"

	"sapphirespread.example/internal/api/oas"
)

// Targets returns the announced targets.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Targets, error) {
		return client.Targets(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapped(answer.Targets, targetOf), nil
}

// Quarantine returns the suspect and quarantined requests.
func (c *Client) Quarantine(ctx context.Context) ([]QuarantineEntry, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Quarantine, error) {
		return client.Quarantine(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapped(answer.Entries, quarantineEntryOf), nil
}

// Release releases a quarantined request.
func (c *Client) Release(ctx context.Context, fingerprint string) error {
	return c.do(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.Release(ctx, oas.ReleaseParams{Fingerprint: fingerprint})
	})
}

// Members returns the control instances of the cluster.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Members, error) {
		return client.Members(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapped(answer.Members, memberOf), nil
}

// AddMember adds a control instance that does not vote yet.
func (c *Client) AddMember(ctx context.Context, m NewMember) error {
	return c.do(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.AddMember(ctx, &oas.NewMember{Name: m.Name, Address: m.Address.String()})
	})
}

// PromoteMember gives a control instance that has caught up its vote.
func (c *Client) PromoteMember(ctx context.Context, name string) error {
	return c.do(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.PromoteMember(ctx, oas.PromoteMemberParams{Name: name})
	})
}

// RemoveMember removes a control instance from the cluster.
func (c *Client) RemoveMember(ctx context.Context, name string) error {
	return c.do(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.RemoveMember(ctx, oas.RemoveMemberParams{Name: name})
	})
}

// Status returns what the first instance that answers knows of the cluster.
func (c *Client) Status(ctx context.Context) (Status, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Status, error) {
		return client.Status(ctx)
	})
	if err != nil {
		return Status{}, err
	}
	return statusOf(answer), nil
}

// Timeline returns the events of the first instance that answers.
func (c *Client) Timeline(ctx context.Context) (io.Reader, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (oas.TimelineOK, error) {
		return client.Timeline(ctx)
	})
	return answer.Data, err
}

// Ready returns nil once one instance can serve.
func (c *Client) Ready(ctx context.Context) error {
	return c.do(ctx, func(ctx context.Context, client *oas.Client) error {
		return client.Ready(ctx)
	})
}

func (c *Client) do(ctx context.Context, ask func(context.Context, *oas.Client) error) error {
	_, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (struct{}, error) {
		return struct{}{}, ask(ctx, client)
	})
	return err
}
