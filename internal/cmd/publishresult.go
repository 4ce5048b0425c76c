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

// publicationID returns a hash of the request without its ID, so that running a command again resends the same
// publication.
func publicationID(request configuration.PublishRequest) string {
	request.ID = ""
	encoded, err := request.MarshalBinary()
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:publicationIDBytes])
}

// printPublishResult writes the result of a publish, and returns an error unless it was accepted.
func (a *app) printPublishResult(c *cli.Command, base uint64, result configuration.PublishResult) error {
	err := a.print(c, result, func(w io.Writer) error {
		if result.Kind != configuration.Accepted {
			return nil
		}
		verb := "in force"
		if c.Bool("dry-run") {
			verb = "would be in force"
		}
		_, err := fmt.Fprintf(w, "%s: revision %d %s\n", result.Kind, result.Revision, verb)
		return err
	})
	if err != nil || result.Kind == configuration.Accepted {
		return err
	}
	return publishError(base, result)
}

// finishPublish writes the result of a publish and, if the wait flag is set, waits until the daemons have the revision.
func (a *app) finishPublish(ctx context.Context, c *cli.Command, api operator.API, base uint64, result configuration.PublishResult) error {
	if err := a.printPublishResult(c, base, result); err != nil {
		return err
	}
	return a.waitForDaemons(ctx, c, api, result)
}

func publishError(base uint64, result configuration.PublishResult) error {
	switch result.Kind {
	case configuration.Conflict:
		return fmt.Errorf("conflict: another publish took revision %d and made revision %d; revision %d is in force.\n"+
			"See what it changed with: sapphirespread diff --from %d --to %d\n"+
			"then publish what you want of both with --base %d", base, result.Winner, result.Revision, base, result.Revision, result.Revision)
	case configuration.TooLarge:
		return fmt.Errorf("too large: %w", result.Problems)
	}
	return fmt.Errorf("%s, nothing was published:\n%w", strings.ToLower(string(result.Kind)), result.Problems)
}
