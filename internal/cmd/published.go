package cmd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

const publicationIDBytes = 16

// publicationID returns an id made of all that the publish holds, so that a command run again resends the same publish.
func publicationID(p configuration.PublishRequest) string {
	p.ID = ""
	encoded, err := p.MarshalBinary()
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:publicationIDBytes])
}

// printPublished writes the answer to a publish; any but accepted is a failure.
func (a *app) printPublished(c *cli.Command, base uint64, p configuration.PublishResult) error {
	err := a.print(c, p, func(w io.Writer) error {
		if p.Kind != configuration.Accepted {
			return nil
		}
		verb := "in force"
		if c.Bool("dry-run") {
			verb = "would be in force"
		}
		_, err := fmt.Fprintf(w, "%s: revision %d %s\n", p.Kind, p.Revision, verb)
		return err
	})
	if err != nil || p.Kind == configuration.Accepted {
		return err
	}
	return refused(base, p)
}

// finishPublished writes the answer to a publish and waits until it is in force, where that is asked for.
func (a *app) finishPublished(ctx context.Context, c *cli.Command, api operator.API, base uint64, p configuration.PublishResult) error {
	if err := a.printPublished(c, base, p); err != nil {
		return err
	}
	return a.waitInForce(ctx, c, api, p)
}

func refused(base uint64, p configuration.PublishResult) error {
	switch p.Kind {
	case configuration.Conflict:
		return fmt.Errorf("conflict: another publish took revision %d and made revision %d; revision %d is in force.\n"+
			"See what it changed with: sapphirespread diff --from %d --to %d\n"+
			"then publish what you want of both with --base %d", base, p.Winner, p.Revision, base, p.Revision, p.Revision)
	case configuration.TooLarge:
		return fmt.Errorf("too large: %w", p.Problems)
	}
	return fmt.Errorf("%s, nothing was published:\n%w", strings.ToLower(string(p.Kind)), p.Problems)
}
