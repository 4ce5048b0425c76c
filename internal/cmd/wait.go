package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

const pollInterval = 100 * time.Millisecond

func waitFlag() cli.Flag {
	return &cli.DurationFlag{
		Name:  "wait",
		Usage: "wait at most `DURATION` until each attached daemon has the revision",
	}
}

// leaderStatus returns the status of the leader, or of the instance that answers first where the leader doesn't.
func (a *app) leaderStatus(ctx context.Context, api operator.API) (operator.Status, error) {
	status, err := api.Status(ctx)
	if err != nil {
		return status, err
	}
	if status.Process == status.Leader || !status.LeaderAddress.IsValid() {
		return status, nil
	}
	led, err := a.open([]netip.AddrPort{status.LeaderAddress}).Status(ctx)
	if err != nil {
		return status, nil
	}
	return led, nil
}

// waitInForce waits until each daemon attached to the leader has the published revision, where the wait flag asks for it.
func (a *app) waitInForce(ctx context.Context, c *cli.Command, api operator.API, p configuration.PublishResult) error {
	limit := c.Duration("wait")
	if limit <= 0 || p.Kind != configuration.Accepted || c.Bool("dry-run") {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		status, err := a.leaderStatus(ctx, api)
		if err != nil {
			return fmt.Errorf("revision %d is accepted; waiting for the daemons: %w", p.Revision, err)
		}
		behind := daemonsBehind(status, p.Revision)
		if len(behind) == 0 {
			_, err := fmt.Fprintf(a.stderr, "revision %d is in force at %d daemons\n", p.Revision, len(status.Daemons))
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("revision %d is accepted, but after %s %d of %d daemons don't have it yet: %s",
				p.Revision, limit, len(behind), len(status.Daemons), strings.Join(behind, ", "))
		case <-time.After(pollInterval):
		}
	}
}

func daemonsBehind(status operator.Status, revision uint64) []string {
	var behind []string
	for _, d := range status.Daemons {
		if d.Revision < revision {
			behind = append(behind, d.Name)
		}
	}
	return behind
}
