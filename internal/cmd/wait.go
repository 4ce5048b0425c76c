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

// leaderStatus returns the status of the leader, or of the first instance that responds if the leader doesn't.
func (a *app) leaderStatus(ctx context.Context, api operator.API) (operator.Status, error) {
	status, err := api.Status(ctx)
	if err != nil {
		return status, err
	}
	if status.Process == status.Leader || !status.LeaderAddress.IsValid() {
		return status, nil
	}
	fromLeader, err := a.open([]netip.AddrPort{status.LeaderAddress}).Status(ctx)
	if err != nil {
		return status, nil
	}
	return fromLeader, nil
}

// waitForDaemons waits until each daemon attached to the leader has the accepted revision. It returns an error if
// the time of the wait flag passes first, and returns at once without the flag, in a dry run or for a rejected publish.
func (a *app) waitForDaemons(ctx context.Context, c *cli.Command, api operator.API, result configuration.PublishResult) error {
	timeout := c.Duration("wait")
	if timeout <= 0 || result.Kind != configuration.Accepted || c.Bool("dry-run") {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		status, err := a.leaderStatus(ctx, api)
		if err != nil {
			return fmt.Errorf("revision %d is accepted; waiting for the daemons: %w", result.Revision, err)
		}
		outdated := outdatedDaemons(status, result.Revision)
		if len(outdated) == 0 {
			_, err := fmt.Fprintf(a.stderr, "revision %d is in force at %d daemons\n", result.Revision, len(status.Daemons))
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("revision %d is accepted, but after %s %d of %d daemons don't have it yet: %s",
				result.Revision, timeout, len(outdated), len(status.Daemons), strings.Join(outdated, ", "))
		case <-time.After(pollInterval):
		}
	}
}

func outdatedDaemons(status operator.Status, revision uint64) []string {
	var outdated []string
	for _, d := range status.Daemons {
		if d.Revision < revision {
			outdated = append(outdated, d.Name)
		}
	}
	return outdated
}
